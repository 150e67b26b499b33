package org.cowslipbank.decision.configuration;

import org.cowslipbank.decision.trace.Decision;

/**
 * What a node knows about whether its configuration is current. Times are milliseconds of the node's monotonic clock,
 * or {@link #NEVER}.
 *
 * @param revision the applied revision, {@link #NO_REVISION} before the first
 * @param confirmedMillis latest time at which the platform is known to have had no higher revision than the applied one
 * @param peerContactMillis latest time at which some peer is known to have been in contact with the platform
 * @param heardMillis send time of the latest query that a peer has answered
 * @param highestRevision the highest revision that the platform or a peer has reported
 */
public record ServingState(
        long revision, long confirmedMillis, long peerContactMillis, long heardMillis, long highestRevision) {
    /** Time of an event that has not happened; far enough from the limit that differences do not overflow. */
    public static final long NEVER = Long.MIN_VALUE / 4;

    /** Revision of a node that has no configuration yet. */
    public static final long NO_REVISION = -1;

    /** State of a node that has just started. */
    public static final ServingState START = new ServingState(NO_REVISION, NEVER, NEVER, NEVER, NO_REVISION);

    /** The decision as recorded in traces and replayed. */
    public static final Decision<Input, Outcome> DECISION =
            new Decision<>("serve", Input.class, Outcome.class, ServingState::decide);

    /**
     * Input of the decision whether a node may take new work.
     *
     * @param state what the node knows
     * @param nowMillis current time of the monotonic clock in milliseconds
     * @param boundMillis the longest time since the last confirmation, in milliseconds
     */
    public record Input(ServingState state, long nowMillis, long boundMillis) {}

    /** Whether a node may take new work, and why. */
    public enum Outcome {
        /** The node's revision was confirmed within the bound. */
        CONFIRMED(true),
        /**
         * Peers answer, but none was in contact with the platform within the bound, and changes are made only there.
         */
        PEERS_ONLY(true),
        /** The node has no configuration. */
        NO_CONFIGURATION(false),
        /** The node knows of a higher revision that it has not applied. */
        BEHIND(false),
        /** Neither the platform nor a peer has confirmed the revision within the bound. */
        ALONE(false);

        private final boolean serves;

        Outcome(boolean serves) {
            this.serves = serves;
        }

        /**
         * Returns whether the node may take new work.
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
     * @param input what the node knows, and the current time
     * @return whether it may, and why
     */
    public static Outcome decide(Input input) {
        ServingState state = input.state();
        if (state.revision() == NO_REVISION) {
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
     * Records a revision that the platform has reported.
     *
     * @param reported the reported revision
     * @param atMillis a lower bound of the time at which this revision was in force
     * @return the new state; the applied revision is confirmed unless a higher one is reported
     */
    public ServingState onPlatformRevision(long reported, long atMillis) {
        long confirmed = reported <= revision ? Math.max(confirmedMillis, atMillis) : confirmedMillis;
        return new ServingState(
                revision, confirmed, peerContactMillis, heardMillis, Math.max(highestRevision, reported));
    }

    /**
     * Records a revision that a peer has reported.
     *
     * @param reported the revision that the peer has applied; with {@link #NO_REVISION}, the peer does not count as
     *     heard
     * @param contactMillis a lower bound of the time at which that revision was last confirmed, or {@link #NEVER}
     * @param askedMillis when the query was sent; an answer that waited during a pause is as old as its query
     * @return the new state
     */
    public ServingState onPeerRevision(long reported, long contactMillis, long askedMillis) {
        long confirmed = reported <= revision ? Math.max(confirmedMillis, contactMillis) : confirmedMillis;
        return new ServingState(
                revision,
                confirmed,
                Math.max(peerContactMillis, contactMillis),
                reported == NO_REVISION ? heardMillis : Math.max(heardMillis, askedMillis),
                Math.max(highestRevision, reported));
    }

    /**
     * Records that the node has applied a revision, for which it has read all shards.
     *
     * @param newRevision the revision
     * @param atMillis a lower bound of the time at which this revision was in force, or {@link #NEVER}
     * @return the new state; unchanged if the revision is lower than the applied one
     */
    public ServingState onRevisionApplied(long newRevision, long atMillis) {
        if (newRevision < revision) {
            return this;
        }
        long confirmed = newRevision == revision ? Math.max(confirmedMillis, atMillis) : atMillis;
        return new ServingState(
                newRevision, confirmed, peerContactMillis, heardMillis, Math.max(highestRevision, newRevision));
    }

    /**
     * Discards all confirmations after a pause of the process.
     *
     * @return the new state
     */
    public ServingState onPause() {
        return new ServingState(revision, NEVER, NEVER, NEVER, highestRevision);
    }
}
