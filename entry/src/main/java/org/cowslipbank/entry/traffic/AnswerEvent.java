package org.cowslipbank.entry.traffic;

import org.cowslipbank.decision.streams.FinishedRun;

/** An event of the answer that a caller receives. */
public sealed interface AnswerEvent {
    /**
     * One token. Tokens come once each and in order.
     *
     * @param text the token's text
     */
    record Token(String text) implements AnswerEvent {}

    /** The tokens so far are void and the answer begins again; only for answers that are not streamed. */
    record Restarted() implements AnswerEvent {}

    /**
     * The whole answer has been sent.
     *
     * @param run why it ended, and token counts
     */
    record Done(FinishedRun run) implements AnswerEvent {}
}
