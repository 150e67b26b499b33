package org.cowslipbank.entry.traffic;

import java.util.function.Supplier;

import org.cowslipbank.entry.suspects.SuspectService;
import org.cowslipbank.ports.ExternalSystems;

/**
 * The dependencies of traffic handling.
 *
 * @param systems clients of engines, services, stores and the platform
 * @param configuration supplies the configuration in force
 * @param fleet the state of the fleet
 * @param upstreams load and availability of the engines
 * @param stores rate and availability of the links to the stores
 * @param secrets keys derived for each team
 * @param settings settings of traffic handling
 * @param clock monotonic clock
 * @param recorder runs and records decisions
 * @param suspects tracks requests that were in flight when an upstream crashed
 * @param metrics the metrics of traffic handling
 */
public record TrafficContext(
        ExternalSystems systems,
        Supplier<ConfigurationIndex> configuration,
        FleetState fleet,
        UpstreamTable upstreams,
        StoreTable stores,
        TeamSecrets secrets,
        TrafficSettings settings,
        MonotonicClock clock,
        DecisionRecorder recorder,
        SuspectService suspects,
        TrafficMetrics metrics) {}
