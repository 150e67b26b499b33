package org.cowslipbank.decision.relay;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Requests that the node has read and not yet started, and the decision which of them to start next or to refuse at once.
 *
 * <p>The load pattern that this answers is a node that gets more requests than its processor time allows: after a start
 * with cold code, a restart of many nodes, or a burst. In order of arrival every request would become late, and requests
 * would be sent on after their clients have left. Here streams whose clients already have events go first, then requests
 * that can still be on time, the most urgent one before the others, and a request that the node cannot start in time by its
 * own recent pace is refused while its client can still go elsewhere. Confined to the traffic thread.
 *
 * @param <T> type of a request
 */
public final class StartQueue<T> {
    /** Weight of the newest start in the average time for which a start occupies the node. */
    static final double PACE_SAMPLE_WEIGHT = 0.1;

    private static final long NEVER = Long.MIN_VALUE;

    private final Queue<Entry<T>> onTime =
            new PriorityQueue<>(Comparator.comparing((Entry<T> entry) -> entry.times(), WaitingQueue.Times.BY_URGENCY));
    private final Queue<Entry<T>> late = new ArrayDeque<>();
    private double millisPerStart;
    private long lastStartMillis = NEVER;

    private record Entry<T>(T request, WaitingQueue.Times times) {}

    /**
     * A request that is next.
     *
     * @param request the request
     * @param expired true if it has waited for too long and must be refused instead of started
     * @param <T> type of a request
     */
    public record Next<T>(T request, boolean expired) {}

    /**
     * Enqueues a request, unless the requests before it would take up its time.
     *
     * @param request the request
     * @param times its times
     * @param nowMillis the time in milliseconds
     * @return empty if it was enqueued, otherwise the time in milliseconds until the present queue has been started
     */
    public OptionalLong offer(T request, WaitingQueue.Times times, long nowMillis) {
        long waitMillis = (long) (size() * millisPerStart);
        if (nowMillis + waitMillis >= times.giveUpMillis()) {
            return OptionalLong.of(waitMillis);
        }
        onTime.add(new Entry<>(request, times));
        return OptionalLong.empty();
    }

    /**
     * Takes the next request: of those that can still be on time the most urgent one, else the late one that arrived
     * first.
     *
     * @param nowMillis the time in milliseconds
     * @return the request, or empty if the queue is empty
     */
    public Optional<Next<T>> poll(long nowMillis) {
        while (!onTime.isEmpty() && onTime.peek().times().isLate(nowMillis)) {
            late.add(onTime.poll());
        }
        Entry<T> entry = onTime.isEmpty() ? late.poll() : onTime.poll();
        if (entry == null) {
            return Optional.empty();
        }
        return Optional.of(
                new Next<>(entry.request(), nowMillis >= entry.times().giveUpMillis()));
    }

    /**
     * Records that a request was started. The time between two starts while others wait is the node's pace; it contains
     * everything else that the node did in between.
     *
     * @param nowMillis the time in milliseconds
     */
    public void onStarted(long nowMillis) {
        if (lastStartMillis != NEVER) {
            long millis = nowMillis - lastStartMillis;
            millisPerStart += (millisPerStart == 0 ? 1 : PACE_SAMPLE_WEIGHT) * (millis - millisPerStart);
        }
        lastStartMillis = isEmpty() ? NEVER : nowMillis;
    }

    /**
     * Returns whether the queue is empty.
     *
     * @return true if no request is waiting to be started
     */
    public boolean isEmpty() {
        return onTime.isEmpty() && late.isEmpty();
    }

    /**
     * Returns the number of requests that are waiting to be started.
     *
     * @return the number
     */
    public int size() {
        return onTime.size() + late.size();
    }
}
