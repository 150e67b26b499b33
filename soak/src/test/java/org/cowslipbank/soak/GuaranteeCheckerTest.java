package org.cowslipbank.soak;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;
import org.cowslipbank.platform.StandInCacheStore.Fetch;
import org.cowslipbank.platform.StandInCacheStore.Free;
import org.cowslipbank.platform.StandInFormats;
import org.cowslipbank.platform.StandInUpstream.Answered;
import org.cowslipbank.platform.StandInUpstream.Order;
import org.cowslipbank.platform.StandInUpstream.Run;

/** Failure guarded against: a check misses a violation. Each guarantee is violated once on purpose. */
final class GuaranteeCheckerTest {
    private final AtomicLong clockMillis = new AtomicLong(1_000_000);
    private final GuaranteeChecker guarantees = new GuaranteeChecker(
            new StandInFormats.Bounds(5_000, 3_000, 8, 10_000, 5_000), 3_000, 2_000, true, clockMillis::get);

    private Run run(String id, String path) {
        return new Run("s1", id, path, "a", "m/1/", false);
    }

    private String send(String path) {
        return guarantees.onSent(path, "a", "key");
    }

    private void assertOneViolation(String text) {
        assert guarantees.violations().size() == 1 : guarantees.violations();
        assert guarantees.violations().get(0).contains(text) : guarantees.violations();
    }

    @Example
    void orderThatRunsTwiceIsFound() {
        String id = send(StandInFormats.ORDER_PATH);
        guarantees.onRun(run(id, StandInFormats.ORDER_PATH));
        assert guarantees.violations().isEmpty();
        guarantees.onRun(run(id, StandInFormats.ORDER_PATH));
        assertOneViolation("ran 2 times");
    }

    @Example
    void readThatRunsThreeTimesIsFound() {
        String id = send(StandInFormats.READ_PATH);
        guarantees.onRun(run(id, StandInFormats.READ_PATH));
        guarantees.onRun(run(id, StandInFormats.READ_PATH));
        assert guarantees.violations().isEmpty();
        guarantees.onRun(run(id, StandInFormats.READ_PATH));
        assertOneViolation("ran 3 times");
    }

    @Example
    void newKeyThatIsRefusedForTooLongIsFound() {
        guarantees.onGranted("key");
        clockMillis.addAndGet(2_001);
        String atNodeOutOfTouch = send(StandInFormats.READ_PATH);
        guarantees.onSentTo(atNodeOutOfTouch, "n1");
        guarantees.onDisturbed("n1");
        guarantees.onHead(atNodeOutOfTouch, 401, "");
        assert guarantees.violations().isEmpty();
        String atNodeInTouch = send(StandInFormats.READ_PATH);
        guarantees.onSentTo(atNodeInTouch, "n2");
        guarantees.onHead(atNodeInTouch, 401, "");
        assertOneViolation("2001 ms after a configuration with its route and key");
        guarantees.onRevoking("key");
        guarantees.onHead(atNodeInTouch, 401, "");
        assert guarantees.violations().size() == 1;
    }

    @Example
    void rejectionAfterARunIsFound() {
        String id = send(StandInFormats.READ_PATH);
        guarantees.onRun(run(id, StandInFormats.READ_PATH));
        guarantees.onRejected(id, "status 503");
        assertOneViolation("although it had run");
    }

    @Example
    void runAfterARejectionIsFound() {
        String id = send(StandInFormats.READ_PATH);
        guarantees.onRejected(id, "status 503");
        guarantees.onRun(run(id, StandInFormats.READ_PATH));
        assertOneViolation("after it was rejected");
    }

    @Example
    void foreignTeamIsFound() {
        String id = send(StandInFormats.READ_PATH);
        guarantees.onRun(new Run("s1", id, StandInFormats.READ_PATH, "b", "m/1/", false));
        assertOneViolation("for team 'b'");
    }

    @Example
    void keyThatIsPassedOnIsFound() {
        String id = send(StandInFormats.READ_PATH);
        guarantees.onRun(new Run("s1", id, StandInFormats.READ_PATH, "a", "m/1/", true));
        assertOneViolation("client's key");
    }

    @Example
    void revokedKeyIsFound() {
        guarantees.onRevoked("key");
        clockMillis.addAndGet(5_000);
        String inTime = send(StandInFormats.READ_PATH);
        guarantees.onRun(run(inTime, StandInFormats.READ_PATH));
        assert guarantees.violations().isEmpty();
        clockMillis.addAndGet(1);
        String late = send(StandInFormats.READ_PATH);
        guarantees.onRun(run(late, StandInFormats.READ_PATH));
        assertOneViolation("revoked");
    }

    @Example
    void requestToADrainedUpstreamIsFound() {
        guarantees.onLeaving("s1");
        clockMillis.addAndGet(3_200);
        guarantees.onRun(run(send(StandInFormats.READ_PATH), StandInFormats.READ_PATH));
        assert guarantees.violations().isEmpty();
        clockMillis.addAndGet(1);
        guarantees.onRun(run(send(StandInFormats.READ_PATH), StandInFormats.READ_PATH));
        assertOneViolation("began to leave");
    }

    private String sendTo(String node) {
        String id = send(StandInFormats.READ_PATH);
        guarantees.onSentTo(id, node);
        return id;
    }

    @Example
    void requestToAnEvacuatedDataCentreIsFound() {
        guarantees.onEvacuated("b");
        clockMillis.addAndGet(5_000);
        guarantees.onReached(sendTo("n1"), "s1", "b");
        clockMillis.addAndGet(1);
        guarantees.onReached(sendTo("n1"), "s2", "a");
        assert guarantees.violations().isEmpty() : guarantees.violations();
        guarantees.onReached(sendTo("n1"), "s1", "b");
        assertOneViolation("whose data centre b was evacuated 5001 ms earlier");
        guarantees.onEvacuationEnds("b");
        guarantees.onReached(sendTo("n1"), "s1", "b");
        assertOneViolation("whose data centre b was evacuated");
    }

    /** Failure guarded against: the excuse of one node or upstream is extended to others, or lasts longer than stated. */
    @Example
    void requestOfANodeOutOfTouchIsNoViolationOfAnEvacuation() {
        guarantees.onEvacuated("b");
        clockMillis.addAndGet(10_000);
        guarantees.onDisturbed("n1");
        guarantees.onDisturbed("s1");
        clockMillis.addAndGet(2_999);
        guarantees.onReached(sendTo("n1"), "s2", "b");
        guarantees.onReached(sendTo("n2"), "s1", "b");
        assert guarantees.violations().isEmpty() : guarantees.violations();
        guarantees.onReached(sendTo("n2"), "s2", "b");
        assertOneViolation("sent to n2");
        clockMillis.addAndGet(1);
        guarantees.onReached(sendTo("n1"), "s2", "b");
        assert guarantees.violations().size() == 2 : guarantees.violations();
    }

    @Example
    void ordersOfAlternatingNodesAreFound() {
        guarantees.onOrder(new Order("s1", "n1", 4));
        clockMillis.addAndGet(3_000);
        guarantees.onOrder(new Order("s1", "n2", 5));
        assert guarantees.violations().isEmpty();
        clockMillis.addAndGet(2_999);
        guarantees.onOrder(new Order("s1", "n3", 6));
        assertOneViolation("within 2999 ms");
    }

    @Example
    void olderFencingTokenIsFound() {
        guarantees.onOrder(new Order("s1", "n1", 4));
        clockMillis.addAndGet(3_000);
        guarantees.onOrder(new Order("s1", "n2", 3));
        assertOneViolation("fencing token");
    }

    @Example
    void responseToAnotherRequestIsFound() {
        guarantees.onServed(send(StandInFormats.READ_PATH), false, "x");
        assertOneViolation("incomplete or belongs to another request");
    }

    @Example
    void streamOnWeightsThatWereReplacedLongAgoIsFound() {
        guarantees.onVersionNamed(2);
        clockMillis.addAndGet(5_000);
        guarantees.onVersionNamed(3);
        clockMillis.addAndGet(5_000);
        guarantees.onBegun(run(send(StandInFormats.STREAM_PATH), StandInFormats.STREAM_PATH), 1);
        assert guarantees.violations().isEmpty();
        clockMillis.addAndGet(1);
        guarantees.onBegun(run(send(StandInFormats.STREAM_PATH), StandInFormats.STREAM_PATH), 2);
        assert guarantees.violations().isEmpty();
        guarantees.onBegun(run(send(StandInFormats.STREAM_PATH), StandInFormats.STREAM_PATH), 1);
        assertOneViolation("began on version 1");
    }

    @Example
    void requestWithoutAnAnswerIsFound() {
        String crossed = send(StandInFormats.READ_PATH);
        guarantees.onUnanswered(crossed, true, "closed");
        assert guarantees.violations().isEmpty();
        String ran = send(StandInFormats.READ_PATH);
        guarantees.onRun(run(ran, StandInFormats.READ_PATH));
        guarantees.onUnanswered(ran, true, "closed");
        assertOneViolation("got no whole answer");
    }

    @Example
    void repeatsBeyondTheBudgetAreFound() {
        for (int request = 0; request < 100; request++) {
            guarantees.onArrival("app", "r" + request);
            if (request < 70) {
                guarantees.onArrival("app", "r" + request);
            }
        }
        guarantees.checkRetryBudget();
        assert guarantees.violations().isEmpty();
        guarantees.onArrival("app", "r0");
        guarantees.checkRetryBudget();
        assertOneViolation("71 repeats of 100 requests");
    }

    @Example
    void partsSharedWithAnIsolatedTeamAreFound() {
        guarantees.onRun(run(send(StandInFormats.STREAM_PATH), StandInFormats.STREAM_PATH));
        guarantees.onIsolated("b");
        clockMillis.addAndGet(3_000);
        guarantees.onRun(run(send(StandInFormats.STREAM_PATH), StandInFormats.STREAM_PATH));
        assert guarantees.violations().isEmpty();
        guarantees.onIsolated("a");
        clockMillis.addAndGet(3_000);
        String other = guarantees.onSent(StandInFormats.STREAM_PATH, "b", "key-b");
        guarantees.onRun(new Run("s1", other, StandInFormats.STREAM_PATH, "b", "m/1/", false));
        assertOneViolation("shares cached parts");
    }

    private static Fetch fetch(boolean complete, boolean discarded, boolean freed) {
        Optional<Free> free = freed ? Optional.of(new Free(1, 1, "n1")) : Optional.empty();
        return new Fetch("r1", "store", "m/1/", "a1", complete, discarded, 0, 2, free);
    }

    @Example
    void fetchedPartThatIsFreedMeanwhileIsFound() {
        guarantees.onFetched(fetch(true, false, false));
        guarantees.onFetched(fetch(true, true, true));
        assert guarantees.violations().isEmpty();
        guarantees.onFetched(fetch(true, false, true));
        assertOneViolation("freed meanwhile");
    }

    @Example
    void fetchedPartThatIsIncompleteIsFound() {
        guarantees.onFetched(fetch(false, true, false));
        assert guarantees.violations().isEmpty();
        guarantees.onFetched(fetch(false, false, false));
        assertOneViolation("incomplete");
    }

    @Example
    void successInPlaceOfAFailureIsFound() {
        guarantees.onAnswered(new Answered("r1", "stamp-r1-s1-1", 500, 500));
        guarantees.onAnswered(new Answered("r1", "stamp-r1-s2-1", 200, 200));
        guarantees.onHead("r1", 500, "stamp-r1-s1-1");
        guarantees.onHead("r1", 200, "stamp-r1-s2-1");
        guarantees.onHead("r1", 502, "");
        assert guarantees.violations().isEmpty();
        guarantees.onHead("r1", 200, "stamp-r1-s1-1");
        assertOneViolation("got status 200 where the upstream answered 500");
    }

    @Example
    void failureWithAnotherStatusThanTheUpstreamsIsFound() {
        guarantees.onAnswered(new Answered("r1", "stamp-r1-s1-1", 200, 200));
        guarantees.onHead("r1", 500, "stamp-r1-s1-1");
        assertOneViolation("got status 500 where the upstream answered 200");
    }

    @Example
    void wholeSuccessOfAStreamThatFailedIsFound() {
        guarantees.onAnswered(new Answered("r1", "stamp-r1-s1-1", 200, 504));
        guarantees.onAnswered(new Answered("r1", "stamp-r1-s2-1", 200, 200));
        guarantees.onWholeSuccess("r1", "stamp-r1-s1-1");
        assert guarantees.violations().isEmpty();
        guarantees.onAnswered(new Answered("r2", "stamp-r2-s1-1", 200, 504));
        guarantees.onWholeSuccess("r2", "stamp-r2-s1-1");
        assertOneViolation("no upstream counts one");
    }
}
