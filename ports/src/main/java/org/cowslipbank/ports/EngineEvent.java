package org.cowslipbank.ports;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;

/** An event of a run. Every event carries its attempt, so that a late or misdelivered answer can be dropped. */
public sealed interface EngineEvent {
    /**
     * Returns the attempt that the event belongs to.
     *
     * @return the attempt
     */
    AttemptId attempt();

    /**
     * The engine has begun the run.
     *
     * @param attempt the attempt
     * @param ran the model, weight version and adapter that the engine runs
     */
    record Started(AttemptId attempt, ModelRef ran) implements EngineEvent {}

    /**
     * One generated token.
     *
     * @param attempt the attempt
     * @param index the token's index in the answer, from zero
     * @param text the token's text
     */
    record Token(AttemptId attempt, int index, String text) implements EngineEvent {}

    /**
     * The run is alive but has no token to send.
     *
     * @param attempt the attempt
     */
    record Heartbeat(AttemptId attempt) implements EngineEvent {}

    /**
     * The run has finished.
     *
     * @param attempt the attempt
     * @param reason why the run ended
     * @param usage token counts of the run
     */
    record Finished(AttemptId attempt, FinishReason reason, Usage usage) implements EngineEvent {}
}
