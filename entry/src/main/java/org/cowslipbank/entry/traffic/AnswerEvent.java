package org.cowslipbank.entry.traffic;

import org.cowslipbank.decision.streams.FinishedRun;

/** An event in the answer to a caller's prompt. */
public sealed interface AnswerEvent {
    /**
     * One token. Each token is delivered once and in order.
     *
     * @param text the token's text
     */
    record Token(String text) implements AnswerEvent {}

    /** Discards all earlier tokens because the answer starts over. Occurs only in answers that are not streamed. */
    record Restarted() implements AnswerEvent {}

    /**
     * End of the answer; all tokens have been sent.
     *
     * @param run the finish reason and the token counts
     */
    record Done(FinishedRun run) implements AnswerEvent {}
}
