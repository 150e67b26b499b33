package org.cowslipbank.decision.trace;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.cowslipbank.decision.entries.Duty;
import org.cowslipbank.decision.entries.DutyAssignment;
import org.cowslipbank.decision.entries.DutyQuery;
import org.cowslipbank.decision.retry.RetryInput;
import org.cowslipbank.decision.retry.RetryPolicy;
import org.cowslipbank.decision.retry.RetryQuestion;
import org.cowslipbank.decision.rollout.EngineReport;
import org.cowslipbank.decision.rollout.EngineTarget;
import org.cowslipbank.decision.rollout.RolloutEvent;
import org.cowslipbank.decision.rollout.RolloutInput;
import org.cowslipbank.decision.rollout.RolloutLimits;
import org.cowslipbank.decision.rollout.RolloutMachine;
import org.cowslipbank.decision.rollout.RolloutState;
import org.cowslipbank.decision.streams.StreamEvent;
import org.cowslipbank.decision.streams.StreamInput;
import org.cowslipbank.decision.streams.StreamLimits;
import org.cowslipbank.decision.streams.StreamMachine;
import org.cowslipbank.decision.streams.StreamSpec;
import org.cowslipbank.decision.streams.StreamState;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/** Guards against traces that cannot be read back, and against a replay that misses a changed outcome. */
final class ReplayTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final ModelRef MODEL = new ModelRef("review", "v1", "");
    private static final TraceCodec.Stamp STAMP = new TraceCodec.Stamp(7, 1_000, 3, 1);

    @Example
    void retryReplaysAndAChangedOutcomeIsFound() throws IOException {
        RetryQuestion question = new RetryQuestion(2, RunState.NOT_RUN, true, false, false);
        String line = recorded(RetryPolicy.DECISION, new RetryInput(RetryPolicy.start(0), question, 1_500));
        assert replay(line).isEmpty() : replay(line);
        String changed = line.replace("\"verdict\":\"ALLOWED\"", "\"verdict\":\"WAIT\"");
        assert !changed.equals(line) : line;
        ReplayDifference difference = replay(changed).orElseThrow();
        assert difference.toString().equals("sequence 7, retry at /verdict: recorded \"WAIT\", replayed \"ALLOWED\"")
                : difference;
    }

    @Example
    void mapsOptionalsAndSealedInterfacesSurviveSerialization() throws IOException {
        RolloutLimits limits = new RolloutLimits(2, 1e9, 1e9, 60_000, 5_000, 3_000, 60_000, 0.5);
        EngineTarget target = new EngineTarget(ENGINE, new DataCentreId("mu-west-1"), MODEL, 1e6, false);
        RolloutState state = RolloutMachine.initialState(limits, 0);
        state = RolloutMachine.apply(state, new RolloutEvent.Targets(List.of(target)), 800)
                .state();
        state = RolloutMachine.apply(
                        state,
                        new RolloutEvent.ReportReceived(new EngineReport(ENGINE, MODEL, false, false, 0, 900)),
                        900)
                .state();
        assert replay(recorded(RolloutMachine.DECISION, new RolloutInput(state, new RolloutEvent.Tick(), 1_000)))
                .isEmpty();
        DutyQuery noNodes = new DutyQuery(Duty.values()[0], "p0", List.of(), List.of(), new VmId("entry-1"), true);
        assert replay(recorded(DutyAssignment.DECISION, noNodes)).isEmpty();
    }

    @Example
    void answerTextIsNotWritten() throws IOException {
        StreamState state = StreamMachine.open(
                        new StreamSpec(new RequestId("req-1"), MODEL, true, 8, 0, StreamLimits.DEFAULTS), 0)
                .state();
        state = StreamMachine.apply(state, new StreamEvent.Sent(state.attempt().id(), ENGINE, MODEL), 1)
                .state();
        state = StreamMachine.apply(
                        state, new StreamEvent.Started(state.attempt().id(), 0, MODEL), 2)
                .state();
        String line = recorded(
                StreamMachine.DECISION,
                new StreamInput(state, new StreamEvent.Token(state.attempt().id(), 0, 0, "confidential"), 3));
        assert line.contains("\"emit\"") : line;
        assert !line.contains("confidential") : line;
        assert replay(line).isEmpty() : replay(line);
    }

    @Example
    void errorOfAnUnreadableLineContainsItsNumber() {
        try {
            TraceCodec.read(List.of("// comment", "{\"kind\":"));
            throw new AssertionError("an unreadable line was accepted");
        } catch (IOException e) {
            assert e.getMessage().startsWith("line 2:") : e.getMessage();
        }
    }

    private static <I, O> String recorded(Decision<I, O> decision, I input) throws IOException {
        O outcome = decision.function().apply(input);
        byte[] line = TraceCodec.toLine(TraceCodec.decisionRecord(decision, input, outcome, STAMP));
        return new String(line, StandardCharsets.UTF_8);
    }

    private static Optional<ReplayDifference> replay(String line) throws IOException {
        return Replay.run(TraceCodec.read(List.of(line)));
    }
}
