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

/** One fleet size: quiet, changes, restart storms, an outage, a cut data centre, a lone node and a paused node. */
final class FleetScenario {
    private static final long STEP_MILLIS = 20;
    private static final long SECOND_MILLIS = 1_000;
    private static final int CHANGES = 5;
    private static final int QUIET_SECONDS = 30;
    private static final int OUTAGE_SECONDS = 60;
    private static final double RESTARTED_SHARE = 250.0 / 340;
    private static final double RESPONSE_MILLIS = 5;

    private final String prefix;
    private final int nodes;
    private final int teams;
    private final long boundMillis;
    private final double inForceMillis;
    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final FakeKeyValueStore platform;
    private final ConfigurationFleet fleet;
    private final Random random;
    private final long[] revisions;
    private final List<Figure> figures = new ArrayList<>();
    private final int dataCentres;
    private long falls;
    private long revision;
    private long secondStartMillis;
    private double peakReads;
    private double peakWrites;
    private long reads;
    private long writes;
    private long bytes;

    FleetScenario(int nodes, int teams, int engines, int dataCentres, boolean target, long seed) {
        this.prefix = "n" + nodes + "_";
        this.nodes = nodes;
        this.teams = teams;
        this.dataCentres = dataCentres;
        this.boundMillis = target ? ConfigurationNode.BOUND_TARGET_MILLIS : ConfigurationNode.BOUND_TODAY_MILLIS;
        this.inForceMillis = target ? 14_000 : 5_000;
        this.random = new Random(seed);
        this.platform = new FakeKeyValueStore(scheduler, RESPONSE_MILLIS, seed);
        this.fleet = new ConfigurationFleet(scheduler, platform, nodes, dataCentres, boundMillis, seed);
        this.revisions = new long[nodes];
        advance(2 * boundMillis);
        change(ConfigurationEdit.replace(SampleConfigurations.of(teams, engines, dataCentres)), List.of());
        until(() -> fleet.isEverywhere(1), inForceMillis);
        advance(2 * boundMillis);
    }

    List<Figure> run() {
        quiet();
        changes();
        restartStorm(false);
        restartStorm(true);
        outage();
        cutDataCentre();
        loneNode();
        pausedNode();
        figures.add(Figure.atMost(prefix + "revision_falls", falls, 0));
        return figures;
    }

    private void quiet() {
        reset();
        advance(QUIET_SECONDS * SECOND_MILLIS);
        info("quiet_reads_per_second", (double) reads / QUIET_SECONDS);
        info("quiet_writes_per_second", (double) writes / QUIET_SECONDS);
        atMost("quiet_not_serving", nodes - fleet.serving(), 0);
    }

    private void changes() {
        double worst = 0;
        double worstAccepted = 0;
        double accepted = 0;
        reset();
        for (int i = 0; i < CHANGES; i++) {
            double limit = 30 + i;
            int team = random.nextInt(teams);
            double startMillis = scheduler.preciseMillis();
            List<ChangeOutcome> outcomes = begin(
                    current -> ConfigurationEdit.putTeam(SampleConfigurations.limited(current, team, limit))
                            .apply(current),
                    List.of());
            worst = Math.max(worst, until(() -> fleet.isEverywhere(revision + 1), inForceMillis));
            accepted += end(outcomes) ? 1 : 0;
            worstAccepted = Math.max(worstAccepted, scheduler.preciseMillis() - startMillis);
            advance(5 * SECOND_MILLIS);
        }
        figures.add(Figure.atLeast(prefix + "changes_accepted", accepted, CHANGES));
        atMost("change_in_force_millis", worst, inForceMillis);
        atMost("change_accepted_millis", worstAccepted, inForceMillis);
        atMost("change_peak_reads_per_second", peakReads, ConfigurationFleet.PLATFORM_READS_PER_SECOND);
        atMost("change_peak_writes_per_second", peakWrites, ConfigurationFleet.PLATFORM_WRITES_PER_SECOND);
        info("change_read_bytes_per_node", (double) bytes / CHANGES / nodes);
    }

    private void restartStorm(boolean platformDown) {
        String name = platformDown ? "storm_platform_down_" : "storm_";
        advance(2 * boundMillis);
        platform.setDown(platformDown);
        reset();
        int restarted = (int) Math.min(nodes - 1, Math.round(nodes * RESTARTED_SHARE));
        for (int node = 0; node < restarted; node++) {
            fleet.restart(node);
            revisions[node] = 0;
        }
        double millis = until(() -> fleet.serving() == nodes, 2 * inForceMillis);
        atMost(name + "all_serve_millis", millis, inForceMillis);
        atMost(name + "not_serving", nodes - fleet.serving(), 0);
        advance(5 * SECOND_MILLIS);
        atMost(name + "peak_reads_per_second", peakReads, ConfigurationFleet.PLATFORM_READS_PER_SECOND);
        platform.setDown(false);
        advance(2 * boundMillis);
    }

    private void outage() {
        platform.setDown(true);
        long fewest = nodes;
        for (int i = 0; i < OUTAGE_SECONDS; i++) {
            advance(SECOND_MILLIS);
            fewest = Math.min(fewest, fleet.serving());
        }
        atMost("outage_not_serving", nodes - fewest, 0);
        long before = revision;
        boolean made = change(
                current -> ConfigurationEdit.putTeam(SampleConfigurations.limited(current, 0, 99))
                        .apply(current),
                List.of());
        atMost("outage_changes_accepted", made && revision > before ? 1 : 0, 0);
        reset();
        platform.setDown(false);
        advance(10 * SECOND_MILLIS);
        atMost("after_outage_peak_reads_per_second", peakReads, ConfigurationFleet.PLATFORM_READS_PER_SECOND);
        revision = fleet.service(0).current().revision();
    }

    // The last data centre reaches neither the platform nor the others, as in a partition between regions.
    private void cutDataCentre() {
        advance(2 * boundMillis);
        revision = fleet.service(0).current().revision();
        setLastCentreCut(true);
        advance(2 * boundMillis);
        atMost("cut_not_serving", nodes - fleet.serving(), 0);
        ConfigurationEdit edit = current -> ConfigurationEdit.putTeam(SampleConfigurations.limited(current, 1, 77))
                .apply(current);
        atMost("cut_accepted_without_exception", change(edit, List.of()) ? 1 : 0, 0);
        boolean made = change(edit, List.of("dc" + (dataCentres - 1)));
        figures.add(Figure.atLeast(prefix + "cut_accepted_with_exception", made ? 1 : 0, 1));
        setLastCentreCut(false);
        double millis = until(() -> fleet.isEverywhere(revision), 2 * inForceMillis);
        atMost("cut_healed_in_force_millis", millis, inForceMillis);
    }

    private void setLastCentreCut(boolean isCut) {
        fleet.partition(isCut ? node -> node % dataCentres == dataCentres - 1 : null);
        for (int node = dataCentres - 1; node < nodes; node += dataCentres) {
            fleet.setPlatformReachable(node, !isCut);
        }
    }

    private void loneNode() {
        advance(2 * boundMillis);
        int lone = nodes - 1;
        fleet.setPlatformReachable(lone, false);
        fleet.partition(node -> node == lone);
        double millis = until(() -> !fleet.service(lone).mayServe(scheduler.nowMillis()), 2 * boundMillis);
        atMost("lone_node_serves_millis", millis, boundMillis + STEP_MILLIS);
        fleet.partition(null);
        fleet.setPlatformReachable(lone, true);
        advance(2 * boundMillis);
    }

    private void pausedNode() {
        int paused = nodes - 1;
        fleet.setPaused(paused, true);
        change(
                current -> ConfigurationEdit.putTeam(SampleConfigurations.limited(current, 2, 55))
                        .apply(current),
                List.of());
        advance(2 * boundMillis);
        fleet.setPaused(paused, false);
        boolean stale = fleet.service(paused).mayServe(scheduler.nowMillis())
                && fleet.service(paused).current().revision() < revision;
        atMost("paused_node_serves_stale", stale ? 1 : 0, 0);
        double millis = until(() -> fleet.isEverywhere(revision), 2 * inForceMillis);
        atMost("paused_node_in_force_millis", millis, inForceMillis);
    }

    private boolean change(ConfigurationEdit edit, List<String> mayLag) {
        return end(begin(edit, mayLag));
    }

    private List<ChangeOutcome> begin(ConfigurationEdit edit, List<String> mayLag) {
        int node = random.nextInt(Math.max(1, nodes / dataCentres)) * dataCentres;
        List<ChangeOutcome> outcomes = new ArrayList<>();
        String id = "change-" + scheduler.nowMillis();
        fleet.change(node, id, revision, edit, mayLag).subscribe(outcomes::add);
        return outcomes;
    }

    private boolean end(List<ChangeOutcome> outcomes) {
        until(() -> !outcomes.isEmpty(), 3 * inForceMillis);
        boolean made = !outcomes.isEmpty() && outcomes.get(0).kind() == ChangeOutcome.Kind.ACCEPTED;
        revision = made ? outcomes.get(0).revision() : revision;
        return made;
    }

    private double until(BooleanSupplier condition, double withinMillis) {
        double startMillis = scheduler.preciseMillis();
        while (!condition.getAsBoolean() && scheduler.preciseMillis() - startMillis < withinMillis) {
            advance(STEP_MILLIS);
        }
        return condition.getAsBoolean() ? scheduler.preciseMillis() - startMillis : Double.MAX_VALUE;
    }

    private void advance(long millis) {
        long endMillis = scheduler.nowMillis() + millis;
        while (scheduler.nowMillis() < endMillis) {
            scheduler.advanceTo(Math.min(endMillis, scheduler.nowMillis() + STEP_MILLIS));
            sample();
        }
    }

    private void sample() {
        for (int node = 0; node < nodes; node++) {
            long now = fleet.service(node).current().revision();
            falls += now < revisions[node] ? 1 : 0;
            revisions[node] = Math.max(revisions[node], now);
        }
        if (scheduler.nowMillis() - secondStartMillis >= SECOND_MILLIS) {
            takeSecond();
        }
    }

    private void takeSecond() {
        FakeKeyValueStore.Counts counts = platform.takeCounts();
        secondStartMillis = scheduler.nowMillis();
        reads += counts.reads() + counts.watches();
        writes += counts.writes() + counts.deletes();
        bytes += counts.readBytes();
        peakReads = Math.max(peakReads, counts.reads() + counts.watches());
        peakWrites = Math.max(peakWrites, counts.writes() + counts.deletes());
    }

    private void reset() {
        takeSecond();
        reads = 0;
        writes = 0;
        bytes = 0;
        peakReads = 0;
        peakWrites = 0;
    }

    private void info(String name, double value) {
        figures.add(Figure.info(prefix + name, value));
    }

    private void atMost(String name, double value, double bound) {
        figures.add(Figure.atMost(prefix + name, value, bound));
    }
}
