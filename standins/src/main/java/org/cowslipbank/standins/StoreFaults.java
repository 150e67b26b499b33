package org.cowslipbank.standins;

/** Fault injection switches of a store. */
public final class StoreFaults {
    private volatile boolean freesBlocksDuringReads;
    private volatile boolean truncatingReads;
    private volatile double linkSlowdown = 1;

    /**
     * Frees each block while it is read and reuses its space, so that the reader gets other data of a later generation.
     *
     * @param value true to inject the fault
     */
    public void setFreeingUnderReaders(boolean value) {
        freesBlocksDuringReads = value;
    }

    /**
     * Sends only the first half of each block, as after a partial write.
     *
     * @param value true to inject the fault
     */
    public void setTruncatingReads(boolean value) {
        truncatingReads = value;
    }

    /**
     * Slows down the link.
     *
     * @param value factor by which transfers take longer, one for no fault
     */
    public void setLinkSlowdown(double value) {
        linkSlowdown = value;
    }

    boolean freesBlocksDuringReads() {
        return freesBlocksDuringReads;
    }

    boolean isTruncatingReads() {
        return truncatingReads;
    }

    double linkSlowdown() {
        return linkSlowdown;
    }
}
