package org.cowslipbank.bench;

import java.util.List;
import java.util.Optional;

import org.cowslipbank.bench.capacity.CapacityBench;
import org.cowslipbank.bench.claims.ClaimsBench;
import org.cowslipbank.bench.config.ConfigBench;
import org.cowslipbank.bench.limits.LimitsBench;
import org.cowslipbank.bench.load.LoadBench;
import org.cowslipbank.bench.membership.MembershipBench;
import org.cowslipbank.bench.micro.MicroBench;
import org.cowslipbank.bench.recovery.RecoveryBench;
import org.cowslipbank.bench.routing.RoutingBench;
import org.cowslipbank.bench.streams.StreamsBench;

/** Registry of all experiments. */
public final class BenchRegistry {
    private static final List<Bench> ALL = List.of(
            // One experiment a line, in alphabetical order.
            new CapacityBench(),
            new ClaimsBench(),
            new ConfigBench(),
            new LimitsBench(),
            new LoadBench(),
            new MembershipBench(),
            new MicroBench(),
            new RecoveryBench(),
            new RoutingBench(),
            new StreamsBench());

    private BenchRegistry() {}

    /**
     * Returns all experiments.
     *
     * @return the experiments in alphabetical order
     */
    public static List<Bench> all() {
        return ALL;
    }

    /**
     * Finds an experiment.
     *
     * @param name the name used on the command line
     * @return the experiment, or empty if there is none of that name
     */
    public static Optional<Bench> find(String name) {
        return ALL.stream().filter(bench -> bench.name().equals(name)).findFirst();
    }
}
