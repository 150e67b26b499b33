package org.cowslipbank.entry.relay;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.CacheIndex;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.HedgePolicy;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.decision.relay.PartLocations;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.decision.relay.UpstreamNotices;
import org.cowslipbank.decision.relay.UpstreamReachability;
import org.cowslipbank.decision.suspects.RefusalProbes;
import org.cowslipbank.decision.suspects.SoundParts;
import org.cowslipbank.ports.relay.RelayCodec;
import org.cowslipbank.ports.relay.RelaySettings;

/**
 * State and services of the node that exchanges share.
 *
 * @param settings the node's settings
 * @param codec encoding of requests and answers
 * @param view the newest view of the platform
 * @param confirmation the last confirmation of the configuration, empty before the first
 * @param readings the calls by which the platform's state is read
 * @param refresh reads the platform's state at once
 * @param canConfirm returns whether the metadata store can confirm the configuration with its next answer
 * @param storeAnswers returns whether answers of the metadata store are coming, complete ones or parts
 * @param clocks the clocks
 * @param loop the traffic thread
 * @param connections connections to upstreams
 * @param endChecks checks whether upstreams outlived the close that ends an answer without a length
 * @param identityChecks checks before a stream goes on at an engine whether it is the process that is registered
 * @param reachability whether this node is cut off from the upstreams
 * @param forwarding other nodes to which requests are passed while it is
 * @param loads load and availability of upstreams as seen by this node
 * @param notices what upstreams say of themselves: limits, leaving, pauses
 * @param noticeRecorder records and logs what upstreams say of themselves
 * @param fleetLoads requests of other nodes in flight at upstreams
 * @param cacheIndex index of the parts in the cache stores
 * @param partLocations engines that probably hold shared parts
 * @param turns the turns of the traffic thread's event loop
 * @param starter queue of requests that have been read and not yet started
 * @param waiting queue of requests without an upstream
 * @param retries this node's share of the retry budgets
 * @param hedging when late requests are sent to a second upstream as well; empty if they never are
 * @param crashReports reports crashes of upstreams, and answers that went on well, to all nodes
 * @param probes requests that are sent although they are refused because of crashes
 * @param soundParts prompt parts of answers that went on well
 * @param origins software versions at which streams began
 * @param originReports reports to all nodes where streams begin
 * @param stop whether the node is stopping, and what it still serves then
 * @param held what the node holds for its connections, and its budget
 * @param metrics counters and timers of requests
 * @param log the structured log
 */
record RelayContext(
        RelaySettings settings,
        RelayCodec codec,
        Supplier<PlatformView> view,
        Supplier<Optional<ConfigurationConfirmation>> confirmation,
        StateReadings readings,
        Runnable refresh,
        BooleanSupplier canConfirm,
        BooleanSupplier storeAnswers,
        Clocks clocks,
        EventLoop loop,
        UpstreamConnectionPool connections,
        ProcessChecks endChecks,
        ProcessChecks identityChecks,
        UpstreamReachability reachability,
        RequestForwarding forwarding,
        UpstreamLoads loads,
        UpstreamNotices notices,
        NoticeRecorder noticeRecorder,
        FleetLoads fleetLoads,
        CacheIndex cacheIndex,
        PartLocations partLocations,
        LoopTurnTracker turns,
        RequestStarter starter,
        WaitingRequests waiting,
        RetryBudgets retries,
        Optional<HedgePolicy> hedging,
        CrashReports crashReports,
        RefusalProbes probes,
        SoundParts soundParts,
        StreamOrigins origins,
        StreamOriginReports originReports,
        NodeStop stop,
        HeldMemory held,
        RelayMetrics metrics,
        DecisionLog log) {
    /**
     * Returns whether API keys may be accepted, because the configuration was confirmed as the newest recently. Holds for
     * a view that is read afterwards.
     *
     * @return false before the first confirmation, and once the last one is older than the revocation bound allows
     */
    boolean isConfirmed() {
        return isConfirmed(clocks.now());
    }

    /**
     * Returns whether the configuration was confirmed as the newest recently before a point in time. Holds for a view that
     * is read afterwards.
     *
     * @param now the point in time
     * @return false before the first confirmation, and once the last one is older than the revocation bound allows
     */
    boolean isConfirmed(LeaderLease.ClockReading now) {
        return isConfirmedWithin(settings.bounds().revokeMillis(), now);
    }

    /**
     * Returns whether the configuration was confirmed so recently that no newer one has to be in force, so that what it lacks may
     * be refused as unknown. Holds for a view that is read afterwards.
     *
     * @return false if a configuration that must be in force by now may be missing
     */
    boolean isConfigurationRecent() {
        return isConfirmedWithin(settings.bounds().configurationMillis(), clocks.now());
    }

    private boolean isConfirmedWithin(long boundMillis, LeaderLease.ClockReading now) {
        return confirmation
                .get()
                .filter(known -> known.isWithin(boundMillis, now.monotonicMillis(), now.wallMillis()))
                .isPresent();
    }

    /**
     * Returns whether a newer configuration is to be awaited before a request is served by one that is not recent. An outage of the
     * metadata store must not stop the nodes, so that one which does not hear from the store goes on with what it knows.
     *
     * @param hasWaited whether the request has waited for a newer configuration already
     * @return false if the known configuration is to be used
     */
    boolean mustAwaitNewest(boolean hasWaited) {
        return canConfirm.getAsBoolean() && (!hasWaited || storeAnswers.getAsBoolean());
    }

    /**
     * Returns the age of the configuration's last confirmation.
     *
     * @return the age in milliseconds, -1 before the first
     */
    long confirmationAgeMillis() {
        LeaderLease.ClockReading now = clocks.now();
        return confirmation
                .get()
                .map(known -> known.ageMillis(now.monotonicMillis(), now.wallMillis()))
                .orElse(-1L);
    }
}
