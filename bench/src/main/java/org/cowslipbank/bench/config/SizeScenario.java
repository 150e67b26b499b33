package org.cowslipbank.bench.config;

import java.util.List;
import java.util.Map;

import org.cowslipbank.bench.Figure;
import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ConfigurationEdit;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.config.Team;
import org.cowslipbank.decision.configuration.ChangeMetadata;
import org.cowslipbank.decision.configuration.ChangePlan;
import org.cowslipbank.decision.configuration.ConfigurationRoot;
import org.cowslipbank.decision.configuration.ConfigurationShards;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.ports.KeyValueStore;

/**
 * Measures the stored sizes at 7,300 teams, 600 engines and a full audit tail, and the resulting control traffic at 610
 * changes a day.
 */
final class SizeScenario {
    private static final int CHANGES = 100;
    private static final double CHANGES_PER_DAY = 610;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double MAX_CONTROL_BYTES_PER_SECOND = 2_000;

    private SizeScenario() {}

    static List<Figure> run() {
        Configuration current = SampleConfigurations.of(7_300, 600, 7);
        ChangePlan plan = ChangePlan.of(ConfigurationRoot.EMPTY, Configurations.empty(), current, metadata(0));
        long largestBytes = largestBytes(plan.newValues());
        long changeBytes = 0;
        long rootBytes = 0;
        long parseNanos = 0;
        for (int i = 1; i <= CHANGES; i++) {
            Configuration next = withLimit(current, i);
            plan = ChangePlan.of(plan.root(), current, next, metadata(i));
            rootBytes = Math.max(rootBytes, ConfigurationShards.write(plan.root()).length);
            changeBytes = Math.max(changeBytes, shardBytes(plan));
            parseNanos += parseNanos(plan);
            current = next;
        }
        double perSecond = (rootBytes + changeBytes) * CHANGES_PER_DAY / SECONDS_PER_DAY;
        return List.of(
                Figure.unbounded("teams7300_shards", plan.root().teams().size()),
                Figure.atMost("teams7300_largest_value_bytes", largestBytes, KeyValueStore.MAX_VALUE_BYTES),
                Figure.atMost("teams7300_root_bytes", rootBytes, KeyValueStore.MAX_VALUE_BYTES),
                Figure.unbounded("teams7300_changed_shard_bytes", changeBytes),
                Figure.unbounded("teams7300_changed_shard_parse_millis", parseNanos / 1e6 / CHANGES),
                Figure.atMost("teams7300_change_bytes_per_second_and_node", perSecond, MAX_CONTROL_BYTES_PER_SECOND));
    }

    private static ChangeMetadata metadata(int i) {
        return new ChangeMetadata("change-" + i, "operator", "limits after the review of team " + i, i, List.of());
    }

    private static Configuration withLimit(Configuration current, int i) {
        Team team = SampleConfigurations.withLimit(current, i, 40 + i);
        try {
            return ConfigurationEdit.putTeam(team).apply(current);
        } catch (ConfigurationException e) {
            throw new IllegalStateException("configuration edit of team " + team.id() + " was rejected", e);
        }
    }

    private static long shardBytes(ChangePlan plan) {
        return plan.newValues().entrySet().stream()
                .filter(value -> value.getKey().startsWith("configuration/shard/"))
                .mapToLong(value -> value.getValue().length)
                .sum();
    }

    private static long parseNanos(ChangePlan plan) {
        long startNanos = System.nanoTime();
        plan.newValues().entrySet().stream()
                .filter(value -> value.getKey().startsWith("configuration/shard/"))
                .forEach(value -> ConfigurationShards.readTeams(value.getValue()));
        return System.nanoTime() - startNanos;
    }

    private static long largestBytes(Map<String, byte[]> values) {
        return values.values().stream().mapToLong(value -> value.length).max().orElse(0);
    }
}
