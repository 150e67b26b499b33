package org.cowslipbank.decision.claims;

import org.cowslipbank.decision.trace.Decision;

/** Decides the result of a claim from the recorded state of its key. */
public final class ClaimLookup {
    /** The decision as recorded in traces and replayed. */
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

    /** Result of a claim. */
    public enum Outcome {
        /** The claim may be added to the log. */
        RECORD,
        /** This call already holds the recorded claim. */
        GRANTED,
        /** The request is finished; its stored answer is returned. */
        FINISHED,
        /** Another call of the request is in progress. */
        IN_PROGRESS,
        /** Another call was granted longer ago than a call may be in progress, and its outcome is unknown. */
        OUTCOME_UNKNOWN,
        /** The key's window is no longer retained, or lies in the future. */
        EXPIRED,
        /** The key was used for a different request. */
        MISMATCH
    }

    /**
     * Input of the lookup.
     *
     * @param windowAccepted true if keys of the key's window are accepted
     * @param recorded the key's recorded state
     * @param sameFingerprint true if the recorded request has the same fingerprint
     * @param sameToken true if the recorded claim has the token of this call
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
     * Decides the result of a claim.
     *
     * @param input the key's recorded state, compared with the claim
     * @return the result
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
