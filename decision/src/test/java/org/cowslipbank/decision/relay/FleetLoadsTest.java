package org.cowslipbank.decision.relay;

import java.util.Map;

import net.jqwik.api.Example;

final class FleetLoadsTest {
    private static final int SERVER = FleetLoads.shortHash("e");

    /** Failure guarded against: a node that died keeps an engine looking busy. */
    @Example
    void oldDigestsDoNotCount() {
        FleetLoads loads = new FleetLoads();
        loads.onDigest(1, Map.of(SERVER, new FleetLoads.Load(2, 20_000, 8_000)), 0);
        loads.onDigest(2, Map.of(SERVER, new FleetLoads.Load(1, 1_000, 0)), 1_000);
        assert loads.at("e").equals(new FleetLoads.Load(3, 21_000, 8_000));
        loads.expire(FleetLoads.VALID_MILLIS, 180);
        assert loads.at("e").equals(new FleetLoads.Load(1, 1_000, 0));
    }

    /** Failure guarded against: in a large fleet each digest runs out before the next one comes. */
    @Example
    void digestsOfALargeFleetLastLonger() {
        FleetLoads loads = new FleetLoads();
        loads.onDigest(1, Map.of(SERVER, new FleetLoads.Load(2, 20_000, 8_000)), 0);
        loads.expire(2_000, 1_800);
        assert loads.at("e").requests() == 2;
    }

    /** Failure guarded against: digests of one node add up instead of replacing each other. */
    @Example
    void newerDigestReplacesOlder() {
        FleetLoads loads = new FleetLoads();
        loads.onDigest(1, Map.of(SERVER, new FleetLoads.Load(2, 20_000, 8_000)), 0);
        loads.onDigest(1, Map.of(), 100);
        assert loads.at("e").equals(FleetLoads.Load.NONE);
    }
}
