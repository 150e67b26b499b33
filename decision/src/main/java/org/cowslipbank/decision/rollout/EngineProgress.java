package org.cowslipbank.decision.rollout;

/**
 * What the controller has done with one engine. Times are milliseconds on the node's monotonic clock; -1 means never.
 *
 * @param orderedAtMillis when the last command was sent
 * @param loadOrderedAtMillis when a weight load was last commanded, until a report shows that it is done
 * @param announcedAtMillis when the engine was announced to the nodes as leaving
 * @param drainSinceMillis when the drain began
 * @param askedAtMillis when the engine's state was last requested
 * @param slot number of the load slot held for the engine, -1 for none
 * @param slotUntilMillis when the lease on that slot expires
 * @param slotAskedAtMillis when a slot was last requested, -1 if no answer is outstanding
 * @param exported progress of the export before retirement
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
        /** Not requested. */
        NONE,
        /** Requested, not finished yet. */
        RUNNING,
        /** Finished or abandoned. */
        DONE
    }

    static final int NO_SLOT = -1;
    static final long NEVER = -1;
    static final EngineProgress NONE =
            new EngineProgress(NEVER, NEVER, NEVER, NEVER, NEVER, NO_SLOT, NEVER, NEVER, Export.NONE);

    EngineProgress withCommand(long nowMillis, boolean load) {
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

    EngineProgress withAnnouncement(long nowMillis) {
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

    EngineProgress withDrain(long sinceMillis) {
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

    EngineProgress withStateRequest(long nowMillis) {
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

    EngineProgress withSlotRequest(long nowMillis) {
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

    /** Resets everything but the command and state request times once the engine has reached its target. */
    EngineProgress withTargetReached() {
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
