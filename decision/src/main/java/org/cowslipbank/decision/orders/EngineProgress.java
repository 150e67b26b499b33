package org.cowslipbank.decision.orders;

/**
 * What the controller has done with one engine. A time of -1 means never.
 *
 * @param orderedAtMillis when the last command was given
 * @param loadOrderedAtMillis when the last load was ordered and has not shown yet
 * @param announcedAtMillis when the nodes were told that it leaves
 * @param drainSinceMillis when the drain began
 * @param askedAtMillis when its state was last asked for
 * @param slot number of the load slot held for it, -1 for none
 * @param slotUntilMillis when that slot lapses
 * @param slotAskedAtMillis when a slot was last asked for
 * @param exported whether the export was asked for and has finished
 */
public record EngineProgress(
        long orderedAtMillis,
        long loadOrderedAtMillis,
        long announcedAtMillis,
        long drainSinceMillis,
        long askedAtMillis,
        int slot,
        long slotUntilMillis,
        long slotAskedAtMillis,
        Export exported) {
    /** Progress of the export before an engine is retired. */
    public enum Export {
        /** Not asked for. */
        NONE,
        /** Asked for. */
        RUNNING,
        /** Finished or given up. */
        DONE
    }

    static final int NO_SLOT = -1;
    static final long NEVER = -1;
    static final EngineProgress NONE =
            new EngineProgress(NEVER, NEVER, NEVER, NEVER, NEVER, NO_SLOT, NEVER, NEVER, Export.NONE);

    EngineProgress ordered(long nowMillis, boolean load) {
        return new EngineProgress(
                nowMillis,
                load ? nowMillis : loadOrderedAtMillis,
                announcedAtMillis,
                drainSinceMillis,
                askedAtMillis,
                slot,
                slotUntilMillis,
                slotAskedAtMillis,
                exported);
    }

    EngineProgress announced(long nowMillis) {
        return new EngineProgress(
                orderedAtMillis,
                loadOrderedAtMillis,
                nowMillis,
                drainSinceMillis,
                askedAtMillis,
                slot,
                slotUntilMillis,
                slotAskedAtMillis,
                exported);
    }

    EngineProgress drainingSince(long sinceMillis) {
        return new EngineProgress(
                orderedAtMillis,
                loadOrderedAtMillis,
                announcedAtMillis,
                sinceMillis,
                askedAtMillis,
                slot,
                slotUntilMillis,
                slotAskedAtMillis,
                exported);
    }

    EngineProgress asked(long nowMillis) {
        return new EngineProgress(
                orderedAtMillis,
                loadOrderedAtMillis,
                announcedAtMillis,
                drainSinceMillis,
                nowMillis,
                slot,
                slotUntilMillis,
                slotAskedAtMillis,
                exported);
    }

    EngineProgress askedSlot(long nowMillis) {
        return new EngineProgress(
                orderedAtMillis,
                loadOrderedAtMillis,
                announcedAtMillis,
                drainSinceMillis,
                askedAtMillis,
                NO_SLOT,
                NEVER,
                nowMillis,
                exported);
    }

    EngineProgress withSlot(int held, long untilMillis) {
        return new EngineProgress(
                orderedAtMillis,
                loadOrderedAtMillis,
                announcedAtMillis,
                drainSinceMillis,
                askedAtMillis,
                held,
                untilMillis,
                NEVER,
                exported);
    }

    EngineProgress settled() {
        return new EngineProgress(orderedAtMillis, NEVER, NEVER, NEVER, askedAtMillis, NO_SLOT, NEVER, NEVER, exported);
    }

    EngineProgress withExport(Export export) {
        return new EngineProgress(
                orderedAtMillis,
                loadOrderedAtMillis,
                announcedAtMillis,
                drainSinceMillis,
                askedAtMillis,
                slot,
                slotUntilMillis,
                slotAskedAtMillis,
                export);
    }
}
