package org.cowslipbank.bench.virtual;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.decision.admission.AdmissionRequest;
import org.cowslipbank.decision.streams.StreamState;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.UpstreamId;

/** One stream at a node: the state machine's state and the data that the node keeps beside it. */
final class SimStream {
    final SimNode node;
    final SimCaller caller;
    final List<String> bufferedTexts = new ArrayList<>();
    StreamState state;
    SimLink link;
    AdmissionRequest admissionRequest;
    long admittedMillis;
    UpstreamId sentTo;
    UpstreamId reservedUpstream;
    AttemptId guardedAttempt;
    boolean reading;
    int unreadTokens;

    SimStream(SimNode node, SimCaller caller) {
        this.node = node;
        this.caller = caller;
    }

    boolean runsAt(UpstreamId upstream) {
        return state != null
                && !state.phase().hasEnded()
                && upstream.equals(state.attempt().upstream());
    }
}
