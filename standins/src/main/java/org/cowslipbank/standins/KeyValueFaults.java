package org.cowslipbank.standins;

/** Fault injection switches of the key-value service. */
public final class KeyValueFaults {
    private volatile boolean down;
    private volatile long delayMillis;
    private volatile boolean losingAnswers;

    /**
     * Starts or ends an outage, in which every call gets status 503.
     *
     * @param value true to start an outage
     */
    public void setDown(boolean value) {
        down = value;
    }

    /**
     * Delays every call before it takes effect.
     *
     * @param value the delay in milliseconds, zero for none
     */
    public void setDelayMillis(long value) {
        delayMillis = value;
    }

    /**
     * Makes writes take effect but closes all connections before the answer is sent.
     *
     * @param value true to lose answers
     */
    public void setLosingAnswers(boolean value) {
        losingAnswers = value;
    }

    boolean isDown() {
        return down;
    }

    long delayMillis() {
        return delayMillis;
    }

    boolean isLosingAnswers() {
        return losingAnswers;
    }
}
