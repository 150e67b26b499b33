package org.cowslipbank.decision.claims;

import org.cowslipbank.decision.trace.Decision;

/** Decides from the recorded state of a key what a claim may be told. */
public final class ClaimLookup {
    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<Input, Outcome> DECISION =
            new Decision<>("claim", Input.class, Outcome.class, ClaimLookup::decide);

    private ClaimLookup() {}

    /** Recorded state of a key. */
    public enum Recorded {
        /** Nothing is recorded, or the last claim was released. */
        NONE,
        /** A call was granted and has no answer yet. */
        CLAIMED,
        /** The request has an answer. */
        FINISHED
    }

    /** What follows for a claim. */
    public enum Outcome {
        /** The claim may be added to the log. */
        RECORD,
        /** The claim is the recorded one. */
        GRANTED,
        /** The stored answer is given. */
        FINISHED,
        /** Another call is in progress. */
        IN_PROGRESS,
        /** Another call was granted some time ago and its outcome is unknown. */
        OUTCOME_UNKNOWN,
        /** The key's window is outside the retention. */
        EXPIRED,
        /** The key was used with another request. */
        MISMATCH
    }

    /**
     * Input of the decision.
     *
     * @param windowAccepted true if the key's window is within the retention
     * @param recorded the key's recorded state
     * @param sameFingerprint true if the recorded request is the same
     * @param sameToken true if the recorded claim is this call's own
     * @param claimAgeMillis age of the recorded claim in milliseconds
     * @param inProgressMillis age up to which a claim counts as in progress, in milliseconds
     */
    public record Input(
            boolean windowAccepted,
            Recorded recorded,
            boolean sameFingerprint,
            boolean sameToken,
            long claimAgeMillis,
            long inProgressMillis) {}

    /**
     * Decides.
     *
     * @param input the key's recorded state and the claim
     * @return what follows
     */
    public static Outcome decide(Input input) {
        if (!input.windowAccepted()) {
            return Outcome.EXPIRED;
        }
        if (input.recorded() == Recorded.NONE) {
            return Outcome.RECORD;
        }
        if (!input.sameFingerprint()) {
            return Outcome.MISMATCH;
        }
        if (input.recorded() == Recorded.FINISHED) {
            return Outcome.FINISHED;
        }
        if (input.sameToken()) {
            return Outcome.GRANTED;
        }
        return input.claimAgeMillis() < input.inProgressMillis() ? Outcome.IN_PROGRESS : Outcome.OUTCOME_UNKNOWN;
    }
}
