package org.cowslipbank.bench.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.platform.FakeKeyValueStore;
import org.cowslipbank.bench.platform.VirtualScheduler;
import org.cowslipbank.config.ConfigurationEdit;
import org.cowslipbank.entry.configuration.ChangeOutcome;
import org.cowslipbank.entry.configuration.ConfigurationNode;

/**
 * Runs one fleet size through a quiet phase, changes, restart storms, a platform outage, a partitioned data centre, an
 * isolated node and a paused node.
 */
final class FleetScenario {
    private static final long STEP_MILLIS = 20;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int CHANGES = 5;
    private static final int QUIET_SECONDS = 30;
    private static final int OUTAGE_SECONDS = 60;
    private static final double RESTARTED_SHARE = 250.0 / 340;
    private static final double PLATFORM_RESPONSE_MILLIS = 5;

    private final String prefix;
    private final int nodes;
    private final int teamCount;
    private final long boundMillis;
    private final double maxInForceMillis;
    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final FakeKeyValueStore platform;
    private final ConfigurationFleet fleet;
    private final Random random;
    private final long[] revisions;
    private final List<Figure> figures = new ArrayList<>();
    private final int dataCentres;
    private long revisionFalls;
    private long revision;
    private long secondStartMillis;
    private double peakReads;
    private double peakWrites;
    private long reads;
    private long writes;
    private long readBytes;

    FleetScenario(int nodes, int teamCount, int engines, int dataCentres, boolean targetSize, long seed) {
        this.prefix = "n" + nodes + "_";
        this.nodes = nodes;
        this.teamCount = teamCount;
        this.dataCentres = dataCentres;
        this.boundMillis = targetSize
                ? ConfigurationNode.LARGE_FLEET_STALENESS_BOUND_MILLIS
                : ConfigurationNode.SMALL_FLEET_STALENESS_BOUND_MILLIS;
        this.maxInForceMillis = targetSize ? 14_000 : 5_000;
        this.random = new Random(seed);
        this.platform = new FakeKeyValueStore(scheduler, PLATFORM_RESPONSE_MILLIS, seed);
        this.fleet = new ConfigurationFleet(scheduler, platform, nodes, dataCentres, boundMillis, seed);
        this.revisions = new long[nodes];
        runFor(2 * boundMillis);
        change(ConfigurationEdit.replace(SampleConfigurations.of(teamCount, engines, dataCentres)), List.of());
        runUntil(() -> fleet.isInForceEverywhere(1), maxInForceMillis);
        runFor(2 * boundMillis);
    }

    List<Figure> run() {
        measureQuiet();
        measureChanges();
        measureRestartStorm(false);
        measureRestartStorm(true);
        measureOutage();
        measureCutDataCentre();
        measureLoneNode();
        measurePausedNode();
        figures.add(Figure.atMost(prefix + "revision_falls", revisionFalls, 0));
        return figures;
    }

    private void measureQuiet() {
        resetRates();
        runFor(QUIET_SECONDS * MILLIS_PER_SECOND);
        info("quiet_reads_per_second", (double) reads / QUIET_SECONDS);
        info("quiet_writes_per_second", (double) writes / QUIET_SECONDS);
        atMost("quiet_not_serving", nodes - fleet.serving(), 0);
    }

    private void measureChanges() {
        double worst = 0;
        double worstAccepted = 0;
        double accepted = 0;
        resetRates();
        for (int i = 0; i < CHANGES; i++) {
            double limit = 30 + i;
            int team = random.nextInt(teamCount);
            double startMillis = scheduler.preciseMillis();
            List<ChangeOutcome> outcomes = startChange(
                    current -> ConfigurationEdit.putTeam(SampleConfigurations.withLimit(current, team, limit))
                            .apply(current),
                    List.of());
            worst = Math.max(worst, runUntil(() -> fleet.isInForceEverywhere(revision + 1), maxInForceMillis));
            accepted += awaitAccepted(outcomes) ? 1 : 0;
            worstAccepted = Math.max(worstAccepted, scheduler.preciseMillis() - startMillis);
            runFor(5 * MILLIS_PER_SECOND);
        }
        figures.add(Figure.atLeast(prefix + "changes_accepted", accepted, CHANGES));
        atMost("change_in_force_millis", worst, maxInForceMillis);
        atMost("change_accepted_millis", worstAccepted, maxInForceMillis);
        atMost("change_peak_reads_per_second", peakReads, ConfigurationFleet.PLATFORM_READS_PER_SECOND);
        atMost("change_peak_writes_per_second", peakWrites, ConfigurationFleet.PLATFORM_WRITES_PER_SECOND);
        info("change_read_bytes_per_node", (double) readBytes / CHANGES / nodes);
    }

    private void measureRestartStorm(boolean platformDown) {
        String name = platformDown ? "storm_platform_down_" : "storm_";
        runFor(2 * boundMillis);
        platform.setDown(platformDown);
        resetRates();
        int restarted = (int) Math.min(nodes - 1, Math.round(nodes * RESTARTED_SHARE));
        for (int node = 0; node < restarted; node++) {
            fleet.restart(node);
            revisions[node] = 0;
        }
        double millis = runUntil(() -> fleet.serving() == nodes, 2 * maxInForceMillis);
        atMost(name + "all_serve_millis", millis, maxInForceMillis);
        atMost(name + "not_serving", nodes - fleet.serving(), 0);
        runFor(5 * MILLIS_PER_SECOND);
        atMost(name + "peak_reads_per_second", peakReads, ConfigurationFleet.PLATFORM_READS_PER_SECOND);
        platform.setDown(false);
        runFor(2 * boundMillis);
    }

    private void measureOutage() {
        platform.setDown(true);
        long fewest = nodes;
        for (int i = 0; i < OUTAGE_SECONDS; i++) {
            runFor(MILLIS_PER_SECOND);
            fewest = Math.min(fewest, fleet.serving());
        }
        atMost("outage_not_serving", nodes - fewest, 0);
        long before = revision;
        boolean accepted = change(
                current -> ConfigurationEdit.putTeam(SampleConfigurations.withLimit(current, 0, 99))
                        .apply(current),
                List.of());
        atMost("outage_changes_accepted", accepted && revision > before ? 1 : 0, 0);
        resetRates();
        platform.setDown(false);
        runFor(10 * MILLIS_PER_SECOND);
        atMost("after_outage_peak_reads_per_second", peakReads, ConfigurationFleet.PLATFORM_READS_PER_SECOND);
        revision = fleet.service(0).current().revision();
    }

    // The last data centre reaches neither the platform nor other data centres, as in a partition between regions.
    private void measureCutDataCentre() {
        runFor(2 * boundMillis);
        revision = fleet.service(0).current().revision();
        setLastDataCentreCut(true);
        runFor(2 * boundMillis);
        atMost("cut_not_serving", nodes - fleet.serving(), 0);
        ConfigurationEdit edit = current -> ConfigurationEdit.putTeam(SampleConfigurations.withLimit(current, 1, 77))
                .apply(current);
        atMost("cut_accepted_without_exception", change(edit, List.of()) ? 1 : 0, 0);
        boolean accepted = change(edit, List.of("dc" + (dataCentres - 1)));
        figures.add(Figure.atLeast(prefix + "cut_accepted_with_exception", accepted ? 1 : 0, 1));
        setLastDataCentreCut(false);
        double millis = runUntil(() -> fleet.isInForceEverywhere(revision), 2 * maxInForceMillis);
        atMost("cut_healed_in_force_millis", millis, maxInForceMillis);
    }

    private void setLastDataCentreCut(boolean isCut) {
        fleet.partition(isCut ? node -> node % dataCentres == dataCentres - 1 : null);
        for (int node = dataCentres - 1; node < nodes; node += dataCentres) {
            fleet.setPlatformReachable(node, !isCut);
        }
    }

    private void measureLoneNode() {
        runFor(2 * boundMillis);
        int lone = nodes - 1;
        fleet.setPlatformReachable(lone, false);
        fleet.partition(node -> node == lone);
        double millis = runUntil(() -> !fleet.service(lone).mayServe(scheduler.nowMillis()), 2 * boundMillis);
        atMost("lone_node_serves_millis", millis, boundMillis + STEP_MILLIS);
        fleet.partition(null);
        fleet.setPlatformReachable(lone, true);
        runFor(2 * boundMillis);
    }

    private void measurePausedNode() {
        int paused = nodes - 1;
        fleet.setPaused(paused, true);
        change(
                current -> ConfigurationEdit.putTeam(SampleConfigurations.withLimit(current, 2, 55))
                        .apply(current),
                List.of());
        runFor(2 * boundMillis);
        fleet.setPaused(paused, false);
        boolean stale = fleet.service(paused).mayServe(scheduler.nowMillis())
                && fleet.service(paused).current().revision() < revision;
        atMost("paused_node_serves_stale", stale ? 1 : 0, 0);
        double millis = runUntil(() -> fleet.isInForceEverywhere(revision), 2 * maxInForceMillis);
        atMost("paused_node_in_force_millis", millis, maxInForceMillis);
    }

    private boolean change(ConfigurationEdit edit, List<String> mayLag) {
        return awaitAccepted(startChange(edit, mayLag));
    }

    private List<ChangeOutcome> startChange(ConfigurationEdit edit, List<String> mayLag) {
        int node = random.nextInt(Math.max(1, nodes / dataCentres)) * dataCentres;
        List<ChangeOutcome> outcomes = new ArrayList<>();
        String id = "change-" + scheduler.nowMillis();
        fleet.change(node, id, revision, edit, mayLag).subscribe(outcomes::add);
        return outcomes;
    }

    private boolean awaitAccepted(List<ChangeOutcome> outcomes) {
        runUntil(() -> !outcomes.isEmpty(), 3 * maxInForceMillis);
        boolean accepted = !outcomes.isEmpty() && outcomes.get(0).kind() == ChangeOutcome.Kind.ACCEPTED;
        revision = accepted ? outcomes.get(0).revision() : revision;
        return accepted;
    }

    private double runUntil(BooleanSupplier condition, double withinMillis) {
        double startMillis = scheduler.preciseMillis();
        while (!condition.getAsBoolean() && scheduler.preciseMillis() - startMillis < withinMillis) {
            runFor(STEP_MILLIS);
        }
        return condition.getAsBoolean() ? scheduler.preciseMillis() - startMillis : Double.MAX_VALUE;
    }

    private void runFor(long millis) {
        long endMillis = scheduler.nowMillis() + millis;
        while (scheduler.nowMillis() < endMillis) {
            scheduler.advanceTo(Math.min(endMillis, scheduler.nowMillis() + STEP_MILLIS));
            sample();
        }
    }

    private void sample() {
        for (int node = 0; node < nodes; node++) {
            long now = fleet.service(node).current().revision();
            revisionFalls += now < revisions[node] ? 1 : 0;
            revisions[node] = Math.max(revisions[node], now);
        }
        if (scheduler.nowMillis() - secondStartMillis >= MILLIS_PER_SECOND) {
            recordSecond();
        }
    }

    private void recordSecond() {
        FakeKeyValueStore.Counts counts = platform.takeCounts();
        secondStartMillis = scheduler.nowMillis();
        reads += counts.reads() + counts.watches();
        writes += counts.writes() + counts.deletes();
        readBytes += counts.readBytes();
        peakReads = Math.max(peakReads, counts.reads() + counts.watches());
        peakWrites = Math.max(peakWrites, counts.writes() + counts.deletes());
    }

    private void resetRates() {
        recordSecond();
        reads = 0;
        writes = 0;
        readBytes = 0;
        peakReads = 0;
        peakWrites = 0;
    }

    private void info(String name, double value) {
        figures.add(Figure.unbounded(prefix + name, value));
    }

    private void atMost(String name, double value, double bound) {
        figures.add(Figure.atMost(prefix + name, value, bound));
    }
}
