package org.cowslipbank.standins;

/** A running stand-in. */
public interface StandIn extends AutoCloseable {
    /**
     * Returns the address at which the stand-in answers.
     *
     * @return the address as {@code IP:port}
     */
    String address();

    /** Stops at once, cutting all connections, as a crash would. */
    @Override
    void close();
}
