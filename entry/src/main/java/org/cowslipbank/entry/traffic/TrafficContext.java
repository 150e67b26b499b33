package org.cowslipbank.entry.traffic;

import java.util.function.Supplier;

import org.cowslipbank.entry.suspects.SuspectService;
import org.cowslipbank.ports.OutsideSystems;

/**
 * What traffic handling works with.
 *
 * @param systems the outside systems
 * @param configuration gives the configuration in force
 * @param fleet gives the state of the fleet
 * @param upstreams what is known about engines
 * @param stores what is known about stores
 * @param secrets keys derived for each team
 * @param settings settings
 * @param clock monotonic clock
 * @param recorder records decisions
 * @param suspects what is known of requests in flight at crashes
 * @param metrics counts
 */
public record TrafficContext(
        OutsideSystems systems,
        Supplier<ConfigurationIndex> configuration,
        FleetView fleet,
        UpstreamTable upstreams,
        StoreTable stores,
        TeamSecrets secrets,
        TrafficSettings settings,
        MonotonicClock clock,
        DecisionRecorder recorder,
        SuspectService suspects,
        TrafficMetrics metrics) {}
