package org.cowslipbank.decision.claims;

import org.cowslipbank.model.RunState;

/**
 * Result of a claim, a finish or a release.
 *
 * @param kind the outcome
 * @param answer the stored answer for {@link Kind#FINISHED}, else null
 */
public record ClaimOutcome(Kind kind, StoredAnswer answer) {
    /** Kind of outcome. */
    public enum Kind {
        /** The node that asked may send the call, once. */
        GRANTED(RunState.UNKNOWN),
        /** The request has run; its stored answer is returned. */
        FINISHED(RunState.RAN),
        /** Another call of the request was granted a short time ago. */
        IN_PROGRESS(RunState.UNKNOWN),
        /** The request may have run; nothing more is known. */
        OUTCOME_UNKNOWN(RunState.UNKNOWN),
        /** The key's window is no longer retained, or lies in the future; nothing is known about the request. */
        EXPIRED(RunState.UNKNOWN),
        /** The key was used before for a different request; this request was not run. */
        MISMATCH(RunState.NOT_RUN),
        /** No call of the request was granted, and this one was not recorded. */
        REFUSED(RunState.NOT_RUN),
        /** A finish or a release has been recorded, or the claim was no longer open. */
        RECORDED(RunState.RAN);

        private final RunState runState;

        Kind(RunState runState) {
            this.runState = runState;
        }

        /**
         * Returns what a caller may conclude about whether the request ran.
         *
         * @return the run state
         */
        public RunState runState() {
            return runState;
        }
    }

    /**
     * Returns an outcome without an answer.
     *
     * @param kind the kind
     * @return the outcome
     */
    public static ClaimOutcome of(Kind kind) {
        return new ClaimOutcome(kind, null);
    }

    /**
     * Returns the outcome for a repeated call of a finished request.
     *
     * @param answer the stored answer
     * @return the outcome
     */
    public static ClaimOutcome finished(StoredAnswer answer) {
        return new ClaimOutcome(Kind.FINISHED, answer);
    }
}
