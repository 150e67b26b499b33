package org.cowslipbank.entry.rollout;

import java.util.function.Supplier;

import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.entry.traffic.MonotonicClock;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.ExternalSystems;
import org.cowslipbank.ports.KeyValueStore;
import reactor.core.scheduler.Scheduler;

/**
 * Dependencies of the model group controllers.
 *
 * @param self this node
 * @param systems the outside systems
 * @param store the key-value service, rate-limited at the priority of commands
 * @param configuration supplies the configuration in force
 * @param announcer announces to the fleet whether an engine is leaving
 * @param control scheduler with a single thread, which owns the controllers' state
 * @param clock monotonic clock
 */
public record RolloutContext(
        VmId self,
        ExternalSystems systems,
        KeyValueStore store,
        Supplier<ConfigurationIndex> configuration,
        Announcer announcer,
        Scheduler control,
        MonotonicClock clock) {
    /** Announces to the fleet whether an engine is leaving. */
    @FunctionalInterface
    public interface Announcer {
        /**
         * Announces an engine's state.
         *
         * @param upstream the engine
         * @param leaving true if it takes no new work
         */
        void announce(UpstreamId upstream, boolean leaving);
    }
}
