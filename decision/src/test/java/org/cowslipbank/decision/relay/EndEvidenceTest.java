package org.cowslipbank.decision.relay;

import java.util.OptionalLong;

import net.jqwik.api.Example;

final class EndEvidenceTest {
    private static final long STARTED_AT_MILLIS = 1_700_000_000_000L;

    /** Failure guarded against: an engine that was started anew stands for the one that was killed. */
    @Example
    void anotherStartIsNoProof() {
        OptionalLong same = OptionalLong.of(STARTED_AT_MILLIS);
        OptionalLong later = OptionalLong.of(STARTED_AT_MILLIS + 1);
        OptionalLong earlier = OptionalLong.of(STARTED_AT_MILLIS - 1);
        assert EndEvidence.ofReport(STARTED_AT_MILLIS, same) == EndEvidence.ALIVE;
        assert EndEvidence.ofReport(STARTED_AT_MILLIS, later) == EndEvidence.RESTARTED;
        assert EndEvidence.ofReport(STARTED_AT_MILLIS, earlier) == EndEvidence.RESTARTED;
        assert EndEvidence.ofReport(STARTED_AT_MILLIS, OptionalLong.empty()) == EndEvidence.ALIVE;
        assert EndEvidence.ofReport(0, later) == EndEvidence.ALIVE;
    }

    /** Failure guarded against: calls go on after the outcome is known, or without end. */
    @Example
    void onlyCallWithoutAnswerIsRepeated() {
        for (EndEvidence evidence : EndEvidence.values()) {
            assert evidence.isWorthAnotherCall(1) == (evidence == EndEvidence.NO_ANSWER) : evidence;
            assert !evidence.isWorthAnotherCall(EndEvidence.MAX_CALLS) : evidence;
        }
    }
}
