package org.cowslipbank.decision.relay;

import java.util.Map;

import net.jqwik.api.Example;

final class FleetLoadsTest {
    /** Failure guarded against: a node that died keeps an engine looking busy. */
    @Example
    void oldDigestsDoNotCount() {
        FleetLoads loads = new FleetLoads();
        loads.onDigest("n1", Map.of("e", new FleetLoads.Load(2, 20_000, 8_000)), 0);
        loads.onDigest("n2", Map.of("e", new FleetLoads.Load(1, 1_000, 0)), 1_000);
        assert loads.at("e", 1_100).equals(new FleetLoads.Load(3, 21_000, 8_000));
        assert loads.at("e", FleetLoads.VALID_MILLIS).equals(new FleetLoads.Load(1, 1_000, 0));
    }

    /** Failure guarded against: digests of one node add up instead of replacing each other. */
    @Example
    void newerDigestReplacesOlder() {
        FleetLoads loads = new FleetLoads();
        loads.onDigest("n1", Map.of("e", new FleetLoads.Load(2, 20_000, 8_000)), 0);
        loads.onDigest("n1", Map.of(), 100);
        assert loads.at("e", 150).equals(FleetLoads.Load.NONE);
    }
}
