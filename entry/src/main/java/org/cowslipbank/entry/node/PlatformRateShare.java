package org.cowslipbank.entry.node;

import java.time.Duration;

import org.cowslipbank.decision.claims.ClaimSettings;
import org.cowslipbank.decision.claims.PlatformBudget;
import org.cowslipbank.entry.claims.BudgetedKeyValueStore;
import org.cowslipbank.entry.configuration.ConfigurationStores;
import org.cowslipbank.ports.KeyValueStore;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/** This node's share of the platform's call rates; it shrinks as the fleet grows. */
final class PlatformRateShare {
    private static final double FLEET_READS_PER_SECOND = 1_600;
    private static final double FLEET_WRITES_PER_SECOND = 100;
    // The owner of a claim partition needs 67 more writes a second: a create and a delete for each batch. Half of a
    // budget is its sustained rate, the other half its burst.
    private static final double PARTITION_WRITES_PER_SECOND = 140 * ClaimSettings.DEFAULT.partitions();
    private static final double CHANGE_CALLS_PER_SECOND = 100;
    private static final double MIN_READS_PER_SECOND = 5;
    private static final Duration RESIZE_PERIOD = Duration.ofSeconds(5);

    private final KeyValueStore store;
    private final Scheduler scheduler;
    private final FleetMembership fleet;
    private final BudgetedKeyValueStore.Budgets budgets;
    private final BudgetedKeyValueStore.Budgets changeBudgets;
    private int nodes = 1;
    private Disposable resizeTimer = () -> {};

    PlatformRateShare(KeyValueStore store, Scheduler scheduler, FleetMembership fleet) {
        this.store = store;
        this.scheduler = scheduler;
        this.fleet = fleet;
        this.budgets = new BudgetedKeyValueStore.Budgets(
                scheduler, FLEET_READS_PER_SECOND, FLEET_WRITES_PER_SECOND + PARTITION_WRITES_PER_SECOND);
        this.changeBudgets =
                new BudgetedKeyValueStore.Budgets(scheduler, CHANGE_CALLS_PER_SECOND, CHANGE_CALLS_PER_SECOND);
    }

    BudgetedKeyValueStore storeFor(PlatformBudget.Priority priority) {
        return new BudgetedKeyValueStore(store, budgets, priority);
    }

    ConfigurationStores configurationStores() {
        return new ConfigurationStores(
                storeFor(PlatformBudget.Priority.CONFIGURATION),
                new BudgetedKeyValueStore(store, changeBudgets, PlatformBudget.Priority.CONFIGURATION),
                new BudgetedKeyValueStore(store, changeBudgets, PlatformBudget.Priority.AUDIT));
    }

    void start() {
        resizeTimer = Flux.interval(RESIZE_PERIOD, scheduler).subscribe(tick -> resize());
    }

    void stop() {
        resizeTimer.dispose();
    }

    private void resize() {
        int current = Math.max(1, fleet.nodes().size());
        if (current == nodes) {
            return;
        }
        nodes = current;
        budgets.resize(
                Math.max(MIN_READS_PER_SECOND, FLEET_READS_PER_SECOND / nodes),
                FLEET_WRITES_PER_SECOND / nodes + PARTITION_WRITES_PER_SECOND);
    }
}
