package org.cowslipbank.standins;

/** A running stand-in for an outside system. */
public interface StandIn extends AutoCloseable {
    /**
     * Returns the address on which the stand-in listens.
     *
     * @return the address as {@code IP:port}
     */
    String address();

    /** Stops immediately and closes all connections, as a crash would. */
    @Override
    void close();
}
