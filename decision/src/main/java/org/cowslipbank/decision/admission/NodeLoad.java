package org.cowslipbank.decision.admission;

import org.cowslipbank.decision.trace.Decision;

/**
 * Whether a node has the processor time for new work. A node that is short of it reads late, takes its upstreams for
 * silent and fails requests that it has accepted; refusing new ones keeps those whole.
 *
 * @param overloaded true while the node refuses new work
 * @param lagMillis moving average of the time that work waits for an event loop, in milliseconds
 * @param calmSinceMillis since when the average has been low, {@link #NEVER} if it is not
 */
public record NodeLoad(boolean overloaded, double lagMillis, long calmSinceMillis) {
    /** Time of an event that has not happened. */
    public static final long NEVER = -1;

    /** State of a node that has just started. */
    public static final NodeLoad START = new NodeLoad(false, 0, NEVER);

    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<Input, NodeLoad> DECISION =
            new Decision<>("node_load", Input.class, NodeLoad.class, NodeLoad::sampled);

    /** Lag from which new work is refused: the time between two tokens that callers are promised. */
    static final double REFUSE_LAG_MILLIS = 33;

    private static final double ACCEPT_LAG_MILLIS = 10;
    // Hysteresis keeps a node near its limit from switching with every sample.
    private static final long CALM_MILLIS = 500;
    private static final double SAMPLE_SHARE = 0.1;

    /**
     * One sample.
     *
     * @param state the state before
     * @param lagMillis the time that a task waited for its event loop, in milliseconds
     * @param nowMillis the time in milliseconds
     */
    public record Input(NodeLoad state, double lagMillis, long nowMillis) {}

    /**
     * Takes in a sample.
     *
     * @param input the sample
     * @return the new state
     */
    public static NodeLoad sampled(Input input) {
        NodeLoad state = input.state();
        double average = state.lagMillis() + SAMPLE_SHARE * (input.lagMillis() - state.lagMillis());
        if (average > REFUSE_LAG_MILLIS) {
            return new NodeLoad(true, average, NEVER);
        }
        if (average > ACCEPT_LAG_MILLIS) {
            return new NodeLoad(state.overloaded(), average, NEVER);
        }
        long calmSince = state.calmSinceMillis() == NEVER ? input.nowMillis() : state.calmSinceMillis();
        boolean calm = input.nowMillis() - calmSince >= CALM_MILLIS;
        return new NodeLoad(state.overloaded() && !calm, average, calmSince);
    }
}
