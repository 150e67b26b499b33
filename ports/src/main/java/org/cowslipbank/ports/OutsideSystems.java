package org.cowslipbank.ports;

/** Gives access to the outside systems. An implementation hides one family of wire formats. */
public interface OutsideSystems {
    /**
     * Returns the platform's key-value service.
     *
     * @return the service
     */
    KeyValueStore keyValueStore();

    /**
     * Returns the platform's VM list.
     *
     * @return the list
     */
    VmList vmList();

    /**
     * Returns a client of an engine.
     *
     * @param address the engine's address as {@code IP:port}
     * @return the client
     */
    Engine engine(String address);

    /**
     * Returns a client of a store VM.
     *
     * @param address the store's address as {@code IP:port}
     * @return the client
     */
    Store store(String address);

    /**
     * Returns a client of a plain service.
     *
     * @param address the service's address as {@code IP:port}
     * @return the client
     */
    PlainService service(String address);
}
