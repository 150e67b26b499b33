package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Example;

/** Tests to which node a request is passed. */
final class ForwardingNodesTest {
    private static final ForwardingNodes.Node NEAR = new ForwardingNodes.Node("near", "10.0.0.1:1", "a", 1);
    private static final ForwardingNodes.Node FAST = new ForwardingNodes.Node("fast", "10.0.0.2:1", "a", 2);
    private static final ForwardingNodes.Node FAR = new ForwardingNodes.Node("far", "10.0.0.3:1", "b", 1);

    private final ForwardingNodes nodes = new ForwardingNodes();

    private String choose(Set<String> tried) {
        return nodes.choose(List.of(FAR, NEAR, FAST), "a", tried, "key", 1_000)
                .map(ForwardingNodes.Node::name)
                .orElse("none");
    }

    /** Failure guarded against: requests leave the data centre, or all go to one node there. */
    @Example
    void requestsAreSpreadByProcessorsAndMostlyStayInTheDataCentre() {
        Map<String, Integer> sent = new HashMap<>();
        for (int number = 0; number < 70; number++) {
            String chosen = choose(Set.of());
            sent.merge(chosen, 1, Integer::sum);
            nodes.onSent(chosen);
        }
        assert sent.get("fast") == 40 && sent.get("near") == 20 && sent.get("far") == 10 : sent;
    }

    /** Failure guarded against: a request is passed again to a node that could not take it. */
    @Example
    void nodesThatCouldNotTakeRequestsAreLeftOut() {
        assert choose(Set.of("near", "fast")).equals("far");
        nodes.onUnable("fast", 1_000);
        assert choose(Set.of()).equals("near");
        nodes.onUnable("near", 1_000);
        nodes.onUnable("far", 400);
        assert choose(Set.of()).equals("far");
        assert !choose(Set.of("far")).equals("none");
        assert choose(Set.of("far", "near", "fast")).equals("none");
    }
}
