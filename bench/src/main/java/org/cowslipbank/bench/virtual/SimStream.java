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
    /** Engine that the current attempt was sent to; null if none was sent or the attempt has ended. */
    UpstreamId sentTo;
    /** Engine that the suspect arbiter reserved for the current attempt; null if none. */
    UpstreamId reservedUpstream;
    /** Attempt that the copy guard allowed and whose end must be reported to it; null if none. */
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
