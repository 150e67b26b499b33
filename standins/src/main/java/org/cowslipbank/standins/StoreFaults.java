package org.cowslipbank.standins;

/** Fault switches of a store. */
public final class StoreFaults {
    private volatile boolean freeingUnderReaders;
    private volatile boolean truncatingReads;
    private volatile double linkSlowdown = 1;

    /**
     * Frees and rewrites each block while it is read, so that the reader gets another generation.
     *
     * @param value true to do so
     */
    public void setFreeingUnderReaders(boolean value) {
        freeingUnderReaders = value;
    }

    /**
     * Sends only a part of each block, as if it had been written in part.
     *
     * @param value true to do so
     */
    public void setTruncatingReads(boolean value) {
        truncatingReads = value;
    }

    /**
     * Slows the link down.
     *
     * @param value factor by which transfers take longer, one for none
     */
    public void setLinkSlowdown(double value) {
        linkSlowdown = value;
    }

    boolean isFreeingUnderReaders() {
        return freeingUnderReaders;
    }

    boolean isTruncatingReads() {
        return truncatingReads;
    }

    double linkSlowdown() {
        return linkSlowdown;
    }
}
