package org.cowslipbank.entry.orders;

import java.util.function.Supplier;

import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.entry.traffic.MonotonicClock;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.OutsideSystems;
import reactor.core.scheduler.Scheduler;

/**
 * What controllers work with.
 *
 * @param self this node
 * @param systems the outside systems
 * @param store the key-value service at the priority of commands
 * @param configuration gives the configuration in force
 * @param announcer tells the fleet whether an engine leaves
 * @param control the control thread
 * @param clock monotonic clock
 */
public record OrdersContext(
        VmId self,
        OutsideSystems systems,
        KeyValueStore store,
        Supplier<ConfigurationIndex> configuration,
        Announcer announcer,
        Scheduler control,
        MonotonicClock clock) {
    /** Tells the fleet whether an engine leaves. */
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
