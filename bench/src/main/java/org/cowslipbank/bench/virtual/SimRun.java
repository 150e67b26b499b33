package org.cowslipbank.bench.virtual;

import org.cowslipbank.decision.streams.FinishedRun;
import org.cowslipbank.decision.streams.StreamEvent;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;

/** One run of a request at an engine. */
final class SimRun {
    final AttemptId attempt;
    final SimCaller caller;
    final int fromToken;
    SimLink link;
    ModelRef model;
    int producedTokens;
    boolean started;
    boolean finished;
    boolean aborted;

    SimRun(AttemptId attempt, SimCaller caller, int fromToken, SimLink link) {
        this.attempt = attempt;
        this.caller = caller;
        this.fromToken = fromToken;
        this.link = link;
        this.producedTokens = fromToken;
    }

    void sendStarted() {
        link.send(new StreamEvent.Started(attempt, link.connection, model));
    }

    void sendToken(int index) {
        String text = caller.request.tokenText(index, model.weightVersion());
        link.send(new StreamEvent.Token(attempt, link.connection, index, text));
    }

    void sendFinished() {
        FinishedRun run = new FinishedRun("stop", 1_000, 0, 0, producedTokens - fromToken, true);
        link.send(new StreamEvent.Finished(attempt, link.connection, run));
    }
}
