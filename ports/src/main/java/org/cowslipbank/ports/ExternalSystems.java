package org.cowslipbank.ports;

/** Factory of the clients of outside systems. Each implementation hides one family of wire formats. */
public interface ExternalSystems {
    /**
     * Returns the client of the platform's key-value service.
     *
     * @return the client
     */
    KeyValueStore keyValueStore();

    /**
     * Returns the client of the platform's VM list.
     *
     * @return the client
     */
    VmList vmList();

    /**
     * Returns the client of an engine.
     *
     * @param address the engine's address as {@code IP:port}
     * @return the client
     */
    Engine engine(String address);

    /**
     * Returns the client of a store VM.
     *
     * @param address the store's address as {@code IP:port}
     * @return the client
     */
    Store store(String address);

    /**
     * Returns the client of a plain service.
     *
     * @param address the service's address as {@code IP:port}
     * @return the client
     */
    PlainService service(String address);
}
