package org.cowslipbank.entry.relay;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.CacheDirectory;
import org.cowslipbank.decision.relay.Confirmation;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.OrderTurn;
import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.ports.relay.RelaySettings;
import org.cowslipbank.ports.relay.RelayWire;

/**
 * What an exchange works with.
 *
 * @param settings the node's settings
 * @param wire the formats
 * @param view the newest view of the platform
 * @param confirmation the last confirmation of the configuration, empty before the first
 * @param reachesStore tells whether the metadata store answered the last call
 * @param clocks the clocks
 * @param loop the traffic thread
 * @param connections connections to upstreams
 * @param loads what was seen of upstreams
 * @param fleetLoads what other nodes have in flight at upstreams
 * @param directory what lies in the stores
 * @param waiting requests that wait for an upstream
 * @param retries the node's part of the retry budget
 * @param crashes told of a request's fingerprint and the upstream that it seems to have crashed
 * @param metrics counters
 * @param log the log of decisions
 */
record RelayContext(
        RelaySettings settings,
        RelayWire wire,
        Supplier<PlatformView> view,
        Supplier<Optional<Confirmation>> confirmation,
        BooleanSupplier reachesStore,
        Clocks clocks,
        EventLoop loop,
        UpstreamConnections connections,
        UpstreamLoads loads,
        FleetLoads fleetLoads,
        CacheDirectory directory,
        WaitingRequests waiting,
        RetryBudgets retries,
        BiConsumer<String, String> crashes,
        RelayMetrics metrics,
        DecisionLog log) {
    /**
     * Tells whether keys may be accepted: no newer configuration existed shortly before.
     *
     * @return false before the first confirmation and once the last one is too old
     */
    boolean isConfirmed() {
        OrderTurn.Moment now = clocks.now();
        long revokeMillis = settings.bounds().revokeMillis();
        return confirmation
                .get()
                .filter(known -> known.allowsKeys(revokeMillis, now.monotonicMillis(), now.wallMillis()))
                .isPresent();
    }

    /**
     * Returns the age of the last confirmation.
     *
     * @return the age in milliseconds, -1 before the first
     */
    long confirmationAgeMillis() {
        OrderTurn.Moment now = clocks.now();
        return confirmation
                .get()
                .map(known -> known.ageMillis(now.monotonicMillis(), now.wallMillis()))
                .orElse(-1L);
    }
}
