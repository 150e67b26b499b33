package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;

final class LookupNodesTest {
    private final List<LookupNodes.Node> nodes = new ArrayList<>();

    private void add(int count, String dataCentre, double cores) {
        for (int index = 0; index < count; index++) {
            String name = dataCentre + "-" + cores + "-" + index;
            nodes.add(new LookupNodes.Node(name, name + ":80", dataCentre, cores, false));
        }
    }

    private List<String> addresses(String dataCentre) {
        return LookupNodes.addresses(nodes, dataCentre);
    }

    /** Failure guarded against: slow VMs get as many clients as fast ones and make them wait after every start. */
    @Example
    void slowNodesAreLeftOutWhileFastOnesHaveEnoughCapacity() {
        add(3, "a", 1.5);
        add(19, "a", 0.36);
        add(3, "b", 1.5);
        assert addresses("a").size() == 3 : addresses("a");
        assert addresses("a").stream().allMatch(address -> address.startsWith("a-1.5")) : addresses("a");
    }

    /** Failure guarded against: the last fast nodes of a data centre get all clients after the loss of the others. */
    @Example
    void slowNodesAreNamedWhenFastOnesAreLost() {
        add(2, "a", 1.5);
        add(19, "a", 0.36);
        assert addresses("a").size() == 21 : addresses("a");
    }

    /** Failure guarded against: a few fast nodes among many get more clients than their processors can serve. */
    @Example
    void fewFastNodesDoNotReplaceALargeFleet() {
        add(3, "a", 1.5);
        add(40, "a", 0.72);
        assert addresses("a").size() == 43 : addresses("a");
    }

    /** Failure guarded against: equal nodes, or nodes of an older build that states no processor, are left out. */
    @Example
    void equalNodesAreAllNamed() {
        add(9, "a", 0);
        assert addresses("a").size() == 9;
        add(7, "b", 0.75);
        assert addresses("b").size() == 7;
    }

    /** Failure guarded against: an answer names more addresses than clients read, or other ones each time. */
    @Example
    void answersAreBoundedAndStable() {
        add(95, "a", 0.36);
        List<String> first = addresses("elsewhere");
        assert first.size() == LookupNodes.MAX_ADDRESSES;
        Collections.shuffle(nodes, new Random(1));
        assert addresses("elsewhere").equals(first);
    }

    /** Failure guarded against: clients of a data centre whose nodes are lost get no address. */
    @Example
    void otherDataCentresServeOneWithoutNodes() {
        add(1, "a", 0.75);
        add(3, "b", 0.75);
        assert addresses("a").size() == 4;
        assert addresses("c").size() == 4;
        assert LookupNodes.addresses(List.of(), "a").isEmpty();
    }

    /** Failure guarded against: clients come to nodes that are cut off, or all to the last one that is not. */
    @Example
    void nodesThatAreCutOffAreLeftOutWhileTheOthersHaveCapacity() {
        add(4, "a", 0.75);
        add(3, "b", 0.75);
        nodes.replaceAll(node -> node.dataCentre().equals("a") ? cutOff(node) : node);
        assert addresses("a").stream().allMatch(address -> address.startsWith("b-")) : addresses("a");
        nodes.replaceAll(node -> node.name().startsWith("b-0.75-0") ? node : cutOff(node));
        assert addresses("a").size() == 4 : addresses("a");
    }

    private static LookupNodes.Node cutOff(LookupNodes.Node node) {
        return new LookupNodes.Node(node.name(), node.address(), node.dataCentre(), node.processorCores(), true);
    }
}
