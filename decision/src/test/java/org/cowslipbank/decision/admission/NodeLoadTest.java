package org.cowslipbank.decision.admission;

import net.jqwik.api.Example;

/** Guards against an overloaded node that accepts requests and then fails them. */
final class NodeLoadTest {
    private static final long SAMPLE_MILLIS = 50;

    @Example
    void lastingLagRefusesAndLastingCalmAcceptsAgain() {
        NodeLoad busy = samples(NodeLoad.START, 60, 40, 0);
        assert busy.overloaded() : busy;
        NodeLoad stillBusy = samples(busy, 5, 0, 10_000);
        assert stillBusy.overloaded() : stillBusy;
        NodeLoad calm = samples(stillBusy, 60, 0, 11_000);
        assert !calm.overloaded() : calm;
    }

    @Example
    void oneLateSampleDoesNotCauseOverload() {
        NodeLoad state = samples(NodeLoad.START, 20, 1, 0);
        state = samples(state, 1, 80, 1_000);
        assert !state.overloaded() : state;
    }

    private static NodeLoad samples(NodeLoad start, int count, double lagMillis, long fromMillis) {
        NodeLoad state = start;
        for (int i = 0; i < count; i++) {
            state = NodeLoad.withSample(new NodeLoad.Input(state, lagMillis, fromMillis + i * SAMPLE_MILLIS));
        }
        return state;
    }
}
