package org.cowslipbank.entry.traffic;

import org.cowslipbank.ports.FinishReason;
import org.cowslipbank.ports.Usage;

/** An event of the answer that a caller receives. */
public sealed interface AnswerEvent {
    /**
     * One token. Tokens come once each and in order.
     *
     * @param text the token's text
     */
    record Token(String text) implements AnswerEvent {}

    /**
     * The whole answer has been sent.
     *
     * @param reason why it ended
     * @param usage token counts
     */
    record Done(FinishReason reason, Usage usage) implements AnswerEvent {}
}
