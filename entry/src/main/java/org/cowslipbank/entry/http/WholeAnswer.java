package org.cowslipbank.entry.http;

import org.cowslipbank.entry.traffic.AnswerEvent;

/** Collects the events of an answer that is sent as one body. */
final class WholeAnswer {
    private final StringBuilder text = new StringBuilder();
    private AnswerEvent.Done done;

    WholeAnswer add(AnswerEvent event) {
        if (event instanceof AnswerEvent.Token token) {
            text.append(token.text());
        } else if (event instanceof AnswerEvent.Done end) {
            done = end;
        } else {
            text.setLength(0);
        }
        return this;
    }

    String text() {
        return text.toString();
    }

    AnswerEvent.Done done() {
        return done;
    }
}
