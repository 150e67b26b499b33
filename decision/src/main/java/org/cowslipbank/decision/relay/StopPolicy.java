package org.cowslipbank.decision.relay;

import java.util.OptionalLong;

/**
 * Decides which requests a stopping node still serves. A request that cannot end before the node does would be cut off, so
 * it is refused while it has not run, and its client goes to another node.
 *
 * <p>The critical load is a planned stop in calm: clients that asked for addresses shortly before go on for a few seconds,
 * and their streams have time-outs longer than the whole grace period although nearly all of them end within a second or
 * two. Refusing all of these would send many clients away twice while nodes are restarted in turn. Taking all of them
 * would cut the long ones off.
 */
public final class StopPolicy {
    /** Multiple of the longest recent answer that must be left; queues of a restart lengthen answers. */
    static final int REPEATABLE_MARGIN = 2;

    /** The same for a request that must not run again: its work is lost if it is cut off. */
    static final int SINGLE_RUN_MARGIN = 3;

    /**
     * A planned stop.
     *
     * @param clientsLeaveMillis time at which no client is expected to use this node any more, in milliseconds
     * @param endMillis time at which the node ends, in milliseconds
     */
    public record Stop(long clientsLeaveMillis, long endMillis) {}

    /**
     * Time that a request needs.
     *
     * @param longestMillis time after which it is given up in any case, in milliseconds
     * @param usualMillis longest of the recent answers of its kind in milliseconds, empty if that is not known or if the
     *     request must not be cut off however rarely
     * @param mayRunAgain true if it may be repeated, or resumed elsewhere, after it was cut off
     */
    public record NeededTime(long longestMillis, OptionalLong usualMillis, boolean mayRunAgain) {}

    private StopPolicy() {}

    /**
     * Returns whether a request may be sent on by a node that is stopping.
     *
     * @param stop the stop
     * @param needed the time that the request needs from now on
     * @param nowMillis the time in milliseconds
     * @return true if it ends before the node does: certainly, or almost certainly as long as clients may not know of the
     *     stop yet
     */
    public static boolean mayServe(Stop stop, NeededTime needed, long nowMillis) {
        long leftMillis = stop.endMillis() - nowMillis;
        if (needed.longestMillis() <= leftMillis) {
            return true;
        }
        if (nowMillis >= stop.clientsLeaveMillis() || needed.usualMillis().isEmpty()) {
            return false;
        }
        int margin = needed.mayRunAgain() ? REPEATABLE_MARGIN : SINGLE_RUN_MARGIN;
        return margin * needed.usualMillis().getAsLong() <= leftMillis;
    }
}
