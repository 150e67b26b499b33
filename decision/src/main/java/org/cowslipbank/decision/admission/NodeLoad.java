package org.cowslipbank.decision.admission;

import org.cowslipbank.decision.trace.Decision;

/**
 * Overload detector for a node's processor. A node without enough processor time reads responses late, treats its
 * upstreams as silent and fails requests that it has accepted. Refusing new requests protects the accepted ones.
 *
 * @param overloaded true while the node refuses new work
 * @param lagMillis moving average of the time that tasks wait for an event loop, in milliseconds
 * @param calmSinceMillis time since which the average has been low, {@link #NEVER} if it is not
 */
public record NodeLoad(boolean overloaded, double lagMillis, long calmSinceMillis) {
    /** Time of an event that has not happened. */
    public static final long NEVER = -1;

    /** State of a node that has just started. */
    public static final NodeLoad START = new NodeLoad(false, 0, NEVER);

    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<Input, NodeLoad> DECISION =
            new Decision<>("node_load", Input.class, NodeLoad.class, NodeLoad::withSample);

    /** Lag above which new work is refused: the time between two tokens that callers are promised. */
    static final double REFUSE_LAG_MILLIS = 33;

    private static final double ACCEPT_LAG_MILLIS = 10;
    // Hysteresis: keeps a node near its limit from switching with every sample.
    private static final long CALM_MILLIS = 500;
    private static final double SAMPLE_WEIGHT = 0.1;

    /**
     * Previous state and one sample of the event loop lag.
     *
     * @param state the state before the sample
     * @param lagMillis time that a task waited for its event loop, in milliseconds
     * @param nowMillis the time in milliseconds
     */
    public record Input(NodeLoad state, double lagMillis, long nowMillis) {}

    /**
     * Adds a sample to the average and updates the overload state.
     *
     * @param input the previous state and the sample
     * @return the new state
     */
    public static NodeLoad withSample(Input input) {
        NodeLoad state = input.state();
        double averageLagMillis = state.lagMillis() + SAMPLE_WEIGHT * (input.lagMillis() - state.lagMillis());
        if (averageLagMillis > REFUSE_LAG_MILLIS) {
            return new NodeLoad(true, averageLagMillis, NEVER);
        }
        if (averageLagMillis > ACCEPT_LAG_MILLIS) {
            return new NodeLoad(state.overloaded(), averageLagMillis, NEVER);
        }
        long calmSinceMillis = state.calmSinceMillis() == NEVER ? input.nowMillis() : state.calmSinceMillis();
        boolean calmLongEnough = input.nowMillis() - calmSinceMillis >= CALM_MILLIS;
        return new NodeLoad(state.overloaded() && !calmLongEnough, averageLagMillis, calmSinceMillis);
    }
}
