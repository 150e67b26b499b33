package org.cowslipbank.bench.routing;

import java.util.PriorityQueue;

/** Runs actions in the order of their virtual time; actions of equal time run in the order of scheduling. */
final class VirtualClock {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long scheduled;
    private double nowMillis;

    double nowMillis() {
        return nowMillis;
    }

    long nowWholeMillis() {
        return (long) nowMillis;
    }

    void at(double atMillis, Runnable action) {
        events.add(new Event(Math.max(atMillis, nowMillis), scheduled++, action));
    }

    void after(double delayMillis, Runnable action) {
        at(nowMillis + delayMillis, action);
    }

    void runUntil(double endMillis) {
        while (!events.isEmpty() && events.peek().atMillis <= endMillis) {
            Event event = events.remove();
            nowMillis = event.atMillis;
            event.action.run();
        }
        nowMillis = endMillis;
    }

    private record Event(double atMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
