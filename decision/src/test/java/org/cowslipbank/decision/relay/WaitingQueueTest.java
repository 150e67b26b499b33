package org.cowslipbank.decision.relay;

import java.util.List;

import net.jqwik.api.Example;

final class WaitingQueueTest {
    private final WaitingQueue<String> line = new WaitingQueue<>();

    /**
     * Failure guarded against: under overload, requests that are already late delay the next ones beyond their
     * objective.
     */
    @Example
    void requestsThatCanBeOnTimeGoFirst() {
        line.add("late", new WaitingQueue.Times(0, 500, 5_000));
        line.add("calm", new WaitingQueue.Times(700, 1_500, 5_000));
        line.add("urgent", new WaitingQueue.Times(800, 1_100, 5_000));
        assert line.inTryOrder(1_000).equals(List.of("urgent", "calm", "late"));
    }

    /** Failure guarded against: streams that were broken off wait behind new requests until their clients give up. */
    @Example
    void begunStreamsGoFirst() {
        line.add("late", new WaitingQueue.Times(0, 500, 5_000));
        line.add("urgent", new WaitingQueue.Times(800, 1_100, 5_000));
        line.add("begun later", WaitingQueue.Times.ofBegunStream(900, 3_000));
        line.add("begun", WaitingQueue.Times.ofBegunStream(700, 2_900));
        assert line.inTryOrder(1_000).equals(List.of("begun", "begun later", "urgent", "late"));
        assert line.inTryOrder(4_000).subList(0, 2).equals(List.of("begun", "begun later"));
        assert line.hasExpired("begun", 2_900);
    }

    /** Failure guarded against: a late request starves because other late ones are served first. */
    @Example
    void lateRequestsKeepTheirOrderOfArrival() {
        line.add("second", new WaitingQueue.Times(100, 200, 5_000));
        line.add("first", new WaitingQueue.Times(50, 400, 5_000));
        assert line.inTryOrder(1_000).equals(List.of("first", "second"));
    }

    /** Failure guarded against: a request waits until its client has given up. */
    @Example
    void waitExpires() {
        line.add("r", new WaitingQueue.Times(0, 500, 2_000));
        assert !line.hasExpired("r", 1_999);
        assert line.hasExpired("r", 2_000);
        line.remove("r");
        assert line.isEmpty() && !line.hasExpired("r", 3_000);
    }
}
