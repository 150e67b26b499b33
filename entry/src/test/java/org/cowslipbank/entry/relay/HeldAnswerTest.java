package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;
import org.cowslipbank.ports.relay.AnswerHead;

/** Failures guarded against: a part of an answer that failed while it was held, or an answer out of order, gets through. */
final class HeldAnswerTest implements UpstreamListener, HeldAnswer.Gate {
    private final List<String> received = new ArrayList<>();
    private final HeldAnswer answer = new HeldAnswer(this, this);
    private boolean holdsHead;
    private boolean holdsBody;
    private boolean ended;

    private void body(String text) {
        answer.onBody(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @Example
    void answerPassesAtOnceUnlessItIsHeld() {
        answer.onHead(null);
        body("a");
        holdsBody = true;
        body("b");
        answer.onEnd();
        assert received.equals(List.of("head", "a", "b", "ended", "end")) : received;
    }

    @Example
    void heldAnswerIsReleasedInOrder() {
        holdsHead = true;
        answer.onHead(null);
        body("a");
        answer.onEnd();
        assert received.equals(List.of("body held", "end held")) : received;
        answer.release();
        assert received.equals(List.of("body held", "end held", "head", "a", "end")) : received;
    }

    @Example
    void bytesAfterTheReleasePassAtOnce() {
        holdsBody = true;
        answer.onHead(null);
        body("a");
        answer.release();
        body("b");
        assert received.equals(List.of("head", "body held", "a", "b")) : received;
    }

    @Example
    void failureDropsWhatIsHeld() {
        holdsBody = true;
        answer.onHead(null);
        body("a");
        answer.onFailure(Failure.BROKEN, "");
        assert received.equals(List.of("head", "body held", "failure")) && !answer.isHolding() : received;
    }

    @Example
    void nothingFollowsTheEndOfTheAttempt() {
        holdsBody = true;
        answer.onHead(null);
        body("a");
        ended = true;
        answer.release();
        assert received.equals(List.of("head", "body held")) : received;
    }

    @Example
    void longAnswerIsNotHeldWithoutBound() {
        holdsBody = true;
        answer.onHead(null);
        body("a".repeat(HeldAnswer.MAX_BYTES));
        body("b");
        assert received.equals(List.of("head", "body held", "too long")) : received;
    }

    @Override
    public boolean holdsHead(AnswerHead head) {
        return holdsHead;
    }

    @Override
    public boolean holdsBody() {
        return holdsBody;
    }

    @Override
    public void onBodyHeld() {
        received.add("body held");
    }

    @Override
    public void onAnswerEnded(boolean isHeld) {
        received.add(isHeld ? "end held" : "ended");
    }

    @Override
    public boolean isEnded() {
        return ended;
    }

    @Override
    public void onTooLong() {
        received.add("too long");
    }

    @Override
    public void onBytesReceived() {
        received.add("bytes");
    }

    @Override
    public void onHead(AnswerHead head) {
        received.add("head");
    }

    @Override
    public void onBody(ByteBuf bytes) {
        received.add(bytes.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void onEnd() {
        received.add("end");
    }

    @Override
    public void onFailure(Failure failure, String message) {
        received.add("failure");
    }
}
