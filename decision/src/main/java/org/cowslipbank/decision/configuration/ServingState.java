package org.cowslipbank.decision.configuration;

import org.cowslipbank.decision.trace.Decision;

/**
 * What a node knows about how current its configuration is. Times are of the node's monotonic clock; {@link #NEVER}
 * stands for an event that has not happened.
 *
 * @param revision the revision applied, {@link #NONE} before the first
 * @param confirmedMillis latest time at which the platform is known to have had no higher revision than the applied one
 * @param peerContactMillis latest time at which any peer heard is known to have had contact with the platform
 * @param heardMillis latest time at which a peer that has answered was asked
 * @param highestRevision the highest revision that the platform or a peer has named
 */
public record ServingState(
        long revision, long confirmedMillis, long peerContactMillis, long heardMillis, long highestRevision) {
    /** Time of an event that has not happened; far enough from the limit for differences not to overflow. */
    public static final long NEVER = Long.MIN_VALUE / 4;

    /** Revision of a node that has no configuration yet. */
    public static final long NONE = -1;

    /** State of a node that has just started. */
    public static final ServingState START = new ServingState(NONE, NEVER, NEVER, NEVER, NONE);

    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<Input, Outcome> DECISION =
            new Decision<>("serve", Input.class, Outcome.class, ServingState::decide);

    /**
     * Input of the decision whether a node may take new work.
     *
     * @param state what the node knows
     * @param nowMillis the time
     * @param boundMillis the staleness bound in milliseconds
     */
    public record Input(ServingState state, long nowMillis, long boundMillis) {}

    /** Whether a node may take new work, and why. */
    public enum Outcome {
        /** Its revision was confirmed within the bound. */
        CONFIRMED(true),
        /** No peer it hears has had contact with the platform within the bound, and changes enter only there. */
        PEERS_ONLY(true),
        /** It has no configuration. */
        NO_CONFIGURATION(false),
        /** It knows of a higher revision that it has not applied. */
        BEHIND(false),
        /** Neither the platform nor a peer has confirmed its revision within the bound. */
        ALONE(false);

        private final boolean serves;

        Outcome(boolean serves) {
            this.serves = serves;
        }

        /**
         * Tells whether the node may take new work.
         *
         * @return true if it may
         */
        public boolean serves() {
            return serves;
        }
    }

    /**
     * Decides whether a node may take new work.
     *
     * @param input what the node knows, and the time
     * @return the outcome
     */
    public static Outcome decide(Input input) {
        ServingState state = input.state();
        if (state.revision() == NONE) {
            return Outcome.NO_CONFIGURATION;
        }
        if (input.nowMillis() - state.confirmedMillis() <= input.boundMillis()) {
            return Outcome.CONFIRMED;
        }
        if (state.highestRevision() > state.revision()) {
            return Outcome.BEHIND;
        }
        boolean peerHasContact = input.nowMillis() - state.peerContactMillis() <= input.boundMillis();
        boolean hearsPeer = input.nowMillis() - state.heardMillis() <= input.boundMillis();
        return hearsPeer && !peerHasContact ? Outcome.PEERS_ONLY : Outcome.ALONE;
    }

    /**
     * The platform has answered with a revision.
     *
     * @param named the revision
     * @param atMillis a time not later than that at which it was in force
     * @return the new state; the applied revision is confirmed unless a higher one is named
     */
    public ServingState platformNamed(long named, long atMillis) {
        long confirmed = named <= revision ? Math.max(confirmedMillis, atMillis) : confirmedMillis;
        return new ServingState(revision, confirmed, peerContactMillis, heardMillis, Math.max(highestRevision, named));
    }

    /**
     * A peer has answered.
     *
     * @param named the revision that it has applied; a peer that has none does not count as heard
     * @param contactMillis a time not later than that at which that revision was last confirmed, or {@link #NEVER}
     * @param askedMillis when the peer was asked; an answer that waited during a pause is as old as its question
     * @return the new state
     */
    public ServingState peerNamed(long named, long contactMillis, long askedMillis) {
        long confirmed = named <= revision ? Math.max(confirmedMillis, contactMillis) : confirmedMillis;
        return new ServingState(
                revision,
                confirmed,
                Math.max(peerContactMillis, contactMillis),
                named == NONE ? heardMillis : Math.max(heardMillis, askedMillis),
                Math.max(highestRevision, named));
    }

    /**
     * The node has read all shards of a revision.
     *
     * @param read the revision
     * @param atMillis a time not later than that at which it was in force, or {@link #NEVER}
     * @return the new state; unchanged if the revision is lower than the applied one
     */
    public ServingState applied(long read, long atMillis) {
        if (read < revision) {
            return this;
        }
        long confirmed = read == revision ? Math.max(confirmedMillis, atMillis) : atMillis;
        return new ServingState(read, confirmed, peerContactMillis, heardMillis, Math.max(highestRevision, read));
    }

    /**
     * The node was paused; nothing it knew about the present counts any longer.
     *
     * @return the new state
     */
    public ServingState paused() {
        return new ServingState(revision, NEVER, NEVER, NEVER, highestRevision);
    }
}
