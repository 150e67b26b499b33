package org.cowslipbank.bench.virtual;

import java.util.List;

import net.jqwik.api.Example;
import org.cowslipbank.decision.streams.FinishedRun;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

final class AnswerAuditTest {
    private static final FinishedRun TWO = new FinishedRun("stop", 1, 0, 0, 2, true);
    private static final SimRequest REQUEST = new SimRequest(
            new RequestId("r"), new TeamId("t"), 1, 2, true, SimRequest.NEVER_CRASHES, 0, SimRequest.NEVER_LEAVES, 0);

    /** Guards against an audit that reports no wrong answers because it cannot detect them. */
    @Example
    void wrongAnswersAreCounted() {
        assert audit("r:0:v1", "r:1:v1").complete() == 1;
        assert audit("r:0:v1", "r:1:v2").lost() == 1;
        assert audit("r:0:v1", "r:0:v1").duplicated() == 1;
        assert audit("r:0:v1", "q:1:v1").misdelivered() == 1;
        assert audit("r:0:v1").lost() == 1;
        SimCaller silent = new SimCaller(REQUEST, 0);
        assert AnswerAudit.of(List.of(silent)).lost() == 1;
        SimCaller refused = new SimCaller(REQUEST, 0);
        refused.onFailed(Refusal.later(503, "overloaded", "full", 1_000), 5);
        assert AnswerAudit.of(List.of(refused)).wrongRunStates() == 0;
        refused.ranAtEngine = true;
        assert AnswerAudit.of(List.of(refused)).wrongRunStates() == 1;
        refused.onCompleted(TWO, 6);
        assert AnswerAudit.of(List.of(refused)).duplicated() == 1;
    }

    private static AnswerAudit audit(String... texts) {
        SimCaller caller = new SimCaller(REQUEST, 0);
        for (int index = 0; index < texts.length; index++) {
            caller.onToken(index, texts[index], index);
        }
        caller.onCompleted(TWO, texts.length);
        return AnswerAudit.of(List.of(caller));
    }
}
