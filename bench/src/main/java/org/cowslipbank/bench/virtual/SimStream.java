package org.cowslipbank.bench.virtual;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.decision.admission.AdmissionRequest;
import org.cowslipbank.decision.streams.StreamState;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.UpstreamId;

/** One stream at a node, with what the shell keeps beside the state machine. */
final class SimStream {
    final SimNode node;
    final SimCaller caller;
    final List<String> collected = new ArrayList<>();
    StreamState state;
    SimLink link;
    AdmissionRequest admitted;
    long admittedMillis;
    UpstreamId sentTo;
    UpstreamId granted;
    AttemptId guarded;
    boolean reading;
    int unread;

    SimStream(SimNode node, SimCaller caller) {
        this.node = node;
        this.caller = caller;
    }

    boolean runsAt(UpstreamId upstream) {
        return state != null
                && !state.phase().ended()
                && upstream.equals(state.attempt().upstream());
    }
}
