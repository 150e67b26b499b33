package org.cowslipbank.entry.relay;

import java.util.OptionalLong;

import org.cowslipbank.decision.relay.AnswerDurations;
import org.cowslipbank.decision.relay.StopPolicy;
import org.cowslipbank.model.relay.Route;

/** Whether the node is stopping, and which requests it still serves then. Durations belong to the traffic thread. */
final class NodeStop {
    private final Clocks clocks;
    private final AnswerDurations durations = new AnswerDurations();
    private volatile StopPolicy.Stop stop;

    NodeStop(Clocks clocks) {
        this.clocks = clocks;
    }

    void begin(StopPolicy.Stop begun) {
        stop = begun;
    }

    /**
     * Returns the time until the node ends.
     *
     * @return the time in milliseconds, empty if the node is not stopping
     */
    OptionalLong leftMillis() {
        StopPolicy.Stop begun = stop;
        return begun == null ? OptionalLong.empty() : OptionalLong.of(begun.endMillis() - clocks.nowMillis());
    }

    void onAnswered(Route route, long durationMillis) {
        durations.onAnswered(route.name(), durationMillis, clocks.nowMillis());
    }

    /**
     * Returns whether a request may be sent on.
     *
     * @param route the request's route
     * @param deadlineMillis time at which the request is given up, in milliseconds
     * @return true unless the node ends before the request does
     */
    boolean mayServe(Route route, long deadlineMillis) {
        StopPolicy.Stop begun = stop;
        if (begun == null) {
            return true;
        }
        long nowMillis = clocks.nowMillis();
        return StopPolicy.mayServe(begun, neededTime(route, deadlineMillis, nowMillis), nowMillis);
    }

    // The outcome of an order that is cut off stays unknown, and nothing of it can be resumed.
    private StopPolicy.NeededTime neededTime(Route route, long deadlineMillis, long nowMillis) {
        boolean mayRunAgain = route.isRepeatable();
        OptionalLong usualMillis = mayRunAgain || route.isStream()
                ? durations.longestMillis(route.name(), nowMillis)
                : OptionalLong.empty();
        return new StopPolicy.NeededTime(deadlineMillis - nowMillis, usualMillis, mayRunAgain);
    }
}
