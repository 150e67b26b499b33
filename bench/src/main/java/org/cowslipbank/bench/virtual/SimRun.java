package org.cowslipbank.bench.virtual;

import org.cowslipbank.decision.streams.FinishedRun;
import org.cowslipbank.decision.streams.StreamEvent;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;

/** One run at an engine. */
final class SimRun {
    final AttemptId attempt;
    final SimCaller caller;
    final int from;
    SimLink link;
    ModelRef ran;
    int produced;
    boolean begun;
    boolean finished;
    boolean ended;

    SimRun(AttemptId attempt, SimCaller caller, int from, SimLink link) {
        this.attempt = attempt;
        this.caller = caller;
        this.from = from;
        this.link = link;
        this.produced = from;
    }

    void sendStarted() {
        link.send(new StreamEvent.Started(attempt, link.connection, ran));
    }

    void sendToken(int index) {
        String text = caller.request.text(index, ran.weightVersion());
        link.send(new StreamEvent.Token(attempt, link.connection, index, text));
    }

    void sendFinished() {
        FinishedRun run = new FinishedRun("stop", 1_000, 0, 0, produced - from, true);
        link.send(new StreamEvent.Finished(attempt, link.connection, run));
    }
}
