package org.cowslipbank.decision.streams;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.Example;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.UpstreamId;

final class StreamMachineTest {
    private static final ModelRef V1 = new ModelRef("review", "v1", "");
    private static final ModelRef V2 = new ModelRef("review", "v2", "");
    private static final UpstreamId A = new UpstreamId("a");
    private static final UpstreamId B = new UpstreamId("b");
    private static final AttemptId FIRST = new AttemptId("r.1");
    private static final AttemptId SECOND = new AttemptId("r.2");
    private static final FinishedRun TWO_TOKENS = new FinishedRun("stop", 9, 0, 0, 2, true);
    private static final FinishedRun ONE_TOKEN = new FinishedRun("stop", 9, 0, 0, 1, true);

    private StreamState state;
    private long nowMillis;
    private final List<StreamEffect> effects = new ArrayList<>();

    /** Failure guarded against: an engine that dies before the first token loses the request. */
    @Example
    void engineDeathBeforeFirstTokenStartsOnAnotherUpstream() {
        open(true, 0);
        send(FIRST, A, V1);
        apply(new StreamEvent.Failed(FIRST, 0, FailureKind.UPSTREAM_DOWN));
        StreamEffect.Start start = lastEffect(StreamEffect.Start.class);
        assert start.attempt().equals(SECOND) && start.avoid().equals(List.of(A)) && start.fromToken() == 0;
        send(SECOND, B, V1);
        tokens(SECOND, 0, 2);
        apply(new StreamEvent.Finished(SECOND, 0, TWO_TOKENS));
        assertAnswer(2);
    }

    /** Failure guarded against: tokens are repeated or lost when an engine dies after the first token. */
    @Example
    void engineDeathAfterFirstTokenContinuesTheAnswer() {
        open(true, 0);
        send(FIRST, A, V1);
        tokens(FIRST, 0, 1);
        apply(new StreamEvent.Failed(FIRST, 0, FailureKind.BROKEN));
        StreamEffect.Resume resume = lastEffect(StreamEffect.Resume.class);
        assert resume.fromToken() == 1 && resume.connection() == 1;
        apply(new StreamEvent.Failed(FIRST, 1, FailureKind.NOT_REACHED));
        assert lastEffect(StreamEffect.Start.class).fromToken() == 1;
        send(SECOND, B, V1);
        apply(new StreamEvent.Token(FIRST, 0, 1, "late"));
        tokens(SECOND, 1, 1);
        apply(new StreamEvent.Finished(SECOND, 0, ONE_TOKEN));
        assertAnswer(2);
    }

    /** Failure guarded against: an answer continues on a different weight version than its first tokens. */
    @Example
    void continuationOnOtherWeightsIsRefused() {
        open(true, 0);
        send(FIRST, A, V1);
        tokens(FIRST, 0, 1);
        apply(new StreamEvent.Started(FIRST, 0, V2));
        assert lastEffect(StreamEffect.Cancel.class).attempt().equals(FIRST);
        apply(new StreamEvent.NotSent(SECOND, NotSentReason.NO_SUCH_VERSION, 0));
        StreamEffect.Fail fail = lastEffect(StreamEffect.Fail.class);
        assert fail.refusal().runState() == RunState.RAN : fail;
    }

    /** Failure guarded against: a non-streaming answer is lost with its weight version although nothing was relayed. */
    @Example
    void nonStreamingAnswerRestartsWhenItsVersionIsGone() {
        open(false, 0);
        send(FIRST, A, V1);
        tokens(FIRST, 0, 1);
        apply(new StreamEvent.Failed(FIRST, 0, FailureKind.UPSTREAM_DOWN));
        apply(new StreamEvent.NotSent(SECOND, NotSentReason.NO_SUCH_VERSION, 0));
        lastEffect(StreamEffect.DiscardTokens.class);
        send(SECOND, B, V2);
        apply(new StreamEvent.Started(SECOND, 0, V2));
        apply(new StreamEvent.Token(SECOND, 0, 0, "x"));
        apply(new StreamEvent.Finished(SECOND, 0, ONE_TOKEN));
        assert lastEffect(StreamEffect.Complete.class).run().completionTokens() == 1;
    }

    /** Failure guarded against: a token delivered on another connection leaves a gap in the answer (P4). */
    @Example
    void missingTokensAreResumed() {
        open(true, 0);
        send(FIRST, A, V1);
        tokens(FIRST, 0, 1);
        apply(new StreamEvent.Token(new AttemptId("other.1"), 0, 1, "not ours"));
        lastEffect(StreamEffect.EventDropped.class);
        apply(new StreamEvent.Finished(FIRST, 0, TWO_TOKENS));
        assert lastEffect(StreamEffect.Resume.class).fromToken() == 1;
        tokens(FIRST, 1, 1);
        apply(new StreamEvent.Finished(FIRST, 1, TWO_TOKENS));
        assertAnswer(2);
    }

    /** Failure guarded against: an open but silent connection blocks the answer for ever. */
    @Example
    void silentConnectionIsReplacedThenGivenUp() {
        open(true, 0);
        send(FIRST, A, V1);
        for (int resume = 1; resume <= StreamLimits.DEFAULTS.maxResumes(); resume++) {
            tickWhenDue();
            assert lastEffect(StreamEffect.Resume.class).connection() == resume;
        }
        tickWhenDue();
        assert effects.contains(new StreamEffect.UpstreamGivenUp(A, FIRST, true));
        assert lastEffect(StreamEffect.Start.class).attempt().equals(SECOND);
    }

    /** Failure guarded against: a refusal says "not run" although an attempt may have run (P5). */
    @Example
    void runStateCoversAllAttempts() {
        open(true, 0);
        apply(new StreamEvent.NotSent(FIRST, NotSentReason.NO_UPSTREAM, 700));
        assert lastEffect(StreamEffect.Fail.class).refusal().runState() == RunState.NOT_RUN;
        open(true, 0);
        send(FIRST, A, V1);
        apply(new StreamEvent.Failed(FIRST, 0, FailureKind.REFUSED));
        send(SECOND, B, V1);
        apply(new StreamEvent.Failed(SECOND, 0, FailureKind.UPSTREAM_DOWN));
        AttemptId third = new AttemptId("r.3");
        send(third, A, V1);
        apply(new StreamEvent.Failed(third, 0, FailureKind.NOT_REACHED));
        assert lastEffect(StreamEffect.Fail.class).refusal().runState() == RunState.UNKNOWN;
    }

    /** Failure guarded against: a run goes on after its caller has disconnected. */
    @Example
    void callerGoneCancelsEvenWhileRouting() {
        open(true, 0);
        apply(new StreamEvent.CallerDisconnected());
        apply(new StreamEvent.Sent(FIRST, A, V1));
        assert lastEffect(StreamEffect.Cancel.class).upstream().equals(A);
        open(true, 0);
        send(FIRST, A, V1);
        apply(new StreamEvent.CallerDisconnected());
        assert lastEffect(StreamEffect.Cancel.class).attempt().equals(FIRST);
    }

    /** Failure guarded against: a slow caller fills the node's memory, or its engine is treated as silent. */
    @Example
    void slowReaderPausesReading() {
        open(true, 0);
        send(FIRST, A, V1);
        tokens(FIRST, 0, StreamLimits.DEFAULTS.maxUnreadTokens() + 1);
        lastEffect(StreamEffect.PauseReading.class);
        nowMillis += 10 * StreamLimits.DEFAULTS.silenceMillis();
        apply(new StreamEvent.Tick());
        assert effects.isEmpty() : effects;
        apply(new StreamEvent.CallerAccepted(StreamLimits.DEFAULTS.maxUnreadTokens()));
        lastEffect(StreamEffect.ContinueReading.class);
        apply(new StreamEvent.Tick());
        assert effects.isEmpty() : effects;
    }

    /** Failure guarded against: an answer whose tokens were all relayed fails because its completion was lost. */
    @Example
    void lostCompletionAtTheTokenLimitCompletes() {
        open(true, 2);
        send(FIRST, A, V1);
        tokens(FIRST, 0, 2);
        apply(new StreamEvent.Failed(FIRST, 0, FailureKind.UPSTREAM_DOWN));
        assert lastEffect(StreamEffect.Complete.class).run().reason().equals(FinishedRun.LENGTH);
    }

    /** Failure guarded against: a recorded transition cannot be replayed. */
    @Example
    void transitionsSurviveJson() throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        open(true, 0);
        send(FIRST, A, V1);
        tokens(FIRST, 0, 1);
        StreamInput input = new StreamInput(state, new StreamEvent.Failed(FIRST, 0, FailureKind.BROKEN), nowMillis);
        StreamInput read = mapper.readerFor(StreamInput.class)
                .without(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .readValue(mapper.writeValueAsString(input));
        StreamTransition outcome = StreamMachine.DECISION.function().apply(read);
        assert outcome.equals(StreamMachine.DECISION.function().apply(input));
        assert mapper.readValue(mapper.writeValueAsString(outcome), StreamTransition.class)
                .equals(outcome);
    }

    private void open(boolean streaming, int maxTokens) {
        StreamSpec spec = new StreamSpec(new RequestId("r"), V1, streaming, maxTokens, 0, StreamLimits.DEFAULTS);
        accept(StreamMachine.open(spec, nowMillis));
    }

    private void send(AttemptId attempt, UpstreamId upstream, ModelRef model) {
        apply(new StreamEvent.Sent(attempt, upstream, model));
    }

    private void tokens(AttemptId attempt, int from, int count) {
        int connection = state.attempt().connection();
        apply(new StreamEvent.Started(attempt, connection, V1));
        for (int index = from; index < from + count; index++) {
            apply(new StreamEvent.Token(attempt, connection, index, "t" + index));
            assert effects.contains(new StreamEffect.Emit(index, "t" + index)) : effects;
        }
    }

    private void tickWhenDue() {
        nowMillis = state.nextCheckMillis();
        apply(new StreamEvent.Tick());
    }

    private void apply(StreamEvent event) {
        accept(StreamMachine.apply(state, event, nowMillis));
    }

    private void accept(StreamTransition transition) {
        state = transition.state();
        effects.clear();
        effects.addAll(transition.effects());
    }

    private <T extends StreamEffect> T lastEffect(Class<T> type) {
        return effects.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .reduce((first, second) -> second)
                .orElseThrow(() -> new AssertionError(type.getSimpleName() + " expected, was " + effects));
    }

    private void assertAnswer(int tokens) {
        assert state.phase() == StreamPhase.COMPLETE && state.emitted() == tokens;
        assert lastEffect(StreamEffect.Complete.class).run().completionTokens() == tokens;
    }
}
