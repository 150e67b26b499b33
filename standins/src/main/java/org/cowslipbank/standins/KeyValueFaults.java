package org.cowslipbank.standins;

/** Fault switches of the key-value service. */
public final class KeyValueFaults {
    private volatile boolean down;
    private volatile long delayMillis;
    private volatile boolean losingAnswers;

    /**
     * Makes the service refuse every call, or ends that.
     *
     * @param value true for an outage
     */
    public void setDown(boolean value) {
        down = value;
    }

    /**
     * Delays every answer.
     *
     * @param value the delay in milliseconds
     */
    public void setDelayMillis(long value) {
        delayMillis = value;
    }

    /**
     * Makes writes take effect but lose their answers.
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
