package org.cowslipbank.bench.config;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.bench.Bench;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.BenchReport;
import org.cowslipbank.bench.Figure;

/**
 * Measures how configuration changes spread through 9, 50, 100 and 340 nodes on a virtual clock, and the size of a
 * configuration of 7,300 teams.
 */
public final class ConfigBench implements Bench {
    // 340 nodes in one process cannot each hold 7,300 teams within 2 GB, so that size is measured on one node.
    private static final int TEAMS_IN_SMALL_FLEET = 300;
    private static final int TEAMS_IN_TARGET_FLEET = 500;

    @Override
    public String name() {
        return "config";
    }

    @Override
    public BenchReport run(BenchOptions options) {
        List<Figure> figures = new ArrayList<>();
        options.progress().accept("config: 9 nodes, bounds of today's fleet size");
        figures.addAll(new FleetScenario(9, 10, 9, 3, false, options.seed()).run());
        for (int nodes : new int[] {50, 100, 340}) {
            options.progress().accept("config: " + nodes + " nodes, bounds of the target fleet size");
            figures.addAll(new FleetScenario(
                            nodes,
                            nodes < 340 ? TEAMS_IN_SMALL_FLEET : TEAMS_IN_TARGET_FLEET,
                            60,
                            7,
                            true,
                            options.seed())
                    .run());
        }
        options.progress().accept("config: 7,300 teams on one node");
        figures.addAll(SizeScenario.run());
        return new BenchReport(name(), options.seed(), figures);
    }
}
