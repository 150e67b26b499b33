package org.cowslipbank.decision.relay;

import java.util.List;

import net.jqwik.api.Example;

final class WaitingLineTest {
    private final WaitingLine<String> line = new WaitingLine<>();

    /**
     * Failure guarded against: under overload, requests that are already late delay the next ones beyond their
     * objective.
     */
    @Example
    void requestsThatCanBeOnTimeGoFirst() {
        line.add("late", new WaitingLine.Times(0, 500, 5_000));
        line.add("calm", new WaitingLine.Times(700, 1_500, 5_000));
        line.add("urgent", new WaitingLine.Times(800, 1_100, 5_000));
        assert line.order(1_000).equals(List.of("urgent", "calm", "late"));
    }

    /** Failure guarded against: a late request starves because other late ones are served first. */
    @Example
    void lateRequestsKeepTheirOrderOfArrival() {
        line.add("second", new WaitingLine.Times(100, 200, 5_000));
        line.add("first", new WaitingLine.Times(50, 400, 5_000));
        assert line.order(1_000).equals(List.of("first", "second"));
    }

    /** Failure guarded against: a request waits until its client has given up. */
    @Example
    void waitExpires() {
        line.add("r", new WaitingLine.Times(0, 500, 2_000));
        assert !line.isOver("r", 1_999);
        assert line.isOver("r", 2_000);
        line.remove("r");
        assert line.isEmpty() && !line.isOver("r", 3_000);
    }
}
