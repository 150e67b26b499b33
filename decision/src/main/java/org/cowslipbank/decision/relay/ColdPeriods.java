package org.cowslipbank.decision.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

import org.cowslipbank.model.BoundedMap;
import org.cowslipbank.model.relay.ColdLimit;
import org.cowslipbank.model.relay.UpstreamServer;

/**
 * Decides until when upstreams are cold by what the metadata store tells: for as long as their registrations say so, for the
 * service's time from their first registration, and for that time after the evacuation of their data centre has ended,
 * unless a later heartbeat says that they are not. Upstreams that were registered before this node has read the store for
 * the first time are as old as they say. Only services with a limit for cold upstreams are concerned. Confined to the
 * control thread.
 */
public final class ColdPeriods {
    /** Upstreams that are remembered, so that one that registers again after an outage of the store is not a new one. */
    static final int MAX_UPSTREAMS = 4_000;

    /**
     * Error of the node's or the upstream's clock up to which an upstream that was there before this node counts as just
     * started; the platform's clocks may be wrong by seconds.
     */
    static final long CLOCK_ERROR_MILLIS = 3_000;

    /** Change of the end of a cold period below which it is not passed on: heartbeats are read a little late. */
    static final long MIN_CHANGE_MILLIS = 400;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final LongSupplier wallMillis;
    private final Map<String, Facts> factsByIncarnation = BoundedMap.byUse(MAX_UPSTREAMS);
    private Map<String, ColdLimit> limitByService = Map.of();

    /** What is known of one incarnation. */
    private static final class Facts {
        private final long firstSeenMillis;
        /** Age at that time by the clocks of both machines, empty if the upstream is new, or does not state its start. */
        private final OptionalLong ageMillis;

        private final boolean started;
        private long saidUntilMillis = NEVER;
        private long saidWarmRevision;

        Facts(long firstSeenMillis, OptionalLong ageMillis, boolean started) {
            this.firstSeenMillis = firstSeenMillis;
            this.ageMillis = ageMillis;
            this.started = started;
        }

        /** The value may be as old as a heartbeat; the whole of it counts from now, which errs on the slow side. */
        private void onSaid(long remainingMillis, long revision, long nowMillis) {
            if (remainingMillis <= 0) {
                saidUntilMillis = NEVER;
                saidWarmRevision = revision;
                return;
            }
            saidWarmRevision = 0;
            if (Math.abs(nowMillis + remainingMillis - saidUntilMillis) >= MIN_CHANGE_MILLIS) {
                saidUntilMillis = nowMillis + remainingMillis;
            }
        }
    }

    /**
     * Creates an object that knows no upstream.
     *
     * @param wallMillis returns the time of day in Unix milliseconds
     */
    public ColdPeriods(LongSupplier wallMillis) {
        this.wallMillis = wallMillis;
    }

    /**
     * Sets the limits for cold upstreams.
     *
     * @param limits the limits by service; services without a limit are left out
     */
    public void setLimits(Map<String, ColdLimit> limits) {
        limitByService = Map.copyOf(limits);
    }

    /**
     * A registration.
     *
     * @param server the upstream
     * @param coldRemainingMillis for how long it says to stay cold, in milliseconds, empty if it does not say it
     * @param revision revision of the registration
     */
    public record Registration(UpstreamServer server, OptionalLong coldRemainingMillis, long revision) {}

    /**
     * Records a registration or a heartbeat.
     *
     * @param registration the registration
     * @param firstReading true if this node reads the store for the first time
     * @param ended evacuations that have ended lately
     * @param nowMillis the time in milliseconds
     * @return true if the end of the upstream's cold period has changed enough for other nodes to know
     */
    public boolean onRegistered(
            Registration registration, boolean firstReading, List<Evacuations.Ended> ended, long nowMillis) {
        UpstreamServer server = registration.server();
        Facts facts = factsByIncarnation.computeIfAbsent(
                server.incarnation(), added -> new Facts(nowMillis, age(server), !firstReading));
        ColdLimit limit = limitByService.getOrDefault(server.service(), ColdLimit.NONE);
        long beforeMillis = Math.max(nowMillis, untilMillis(server, facts, limit, ended));
        registration
                .coldRemainingMillis()
                .ifPresent(remaining -> facts.onSaid(remaining, registration.revision(), nowMillis));
        return limit.isLimited() && Math.max(nowMillis, untilMillis(server, facts, limit, ended)) != beforeMillis;
    }

    private OptionalLong age(UpstreamServer server) {
        return server.startedAtMillis() == 0
                ? OptionalLong.empty()
                : OptionalLong.of(wallMillis.getAsLong() - server.startedAtMillis());
    }

    /**
     * Returns until when upstreams are cold.
     *
     * @param servers the upstreams
     * @param ended evacuations that have ended lately
     * @return what placement has to know, {@link ColdUpstreams.Known#NONE} if no service has a limit
     */
    public ColdUpstreams.Known known(Collection<List<UpstreamServer>> servers, List<Evacuations.Ended> ended) {
        if (limitByService.isEmpty()) {
            return ColdUpstreams.Known.NONE;
        }
        Map<String, ColdUpstreams.Period> periods = new HashMap<>();
        for (List<UpstreamServer> ofService : servers) {
            for (UpstreamServer server : ofService) {
                ColdLimit limit = limitByService.getOrDefault(server.service(), ColdLimit.NONE);
                Facts facts = factsByIncarnation.get(server.incarnation());
                if (limit.isLimited() && facts != null) {
                    long untilMillis = untilMillis(server, facts, limit, ended);
                    periods.put(server.incarnation(), new ColdUpstreams.Period(server.address(), limit, untilMillis));
                }
            }
        }
        return new ColdUpstreams.Known(periods);
    }

    private static long untilMillis(
            UpstreamServer server, Facts facts, ColdLimit limit, List<Evacuations.Ended> ended) {
        long untilMillis = Math.max(facts.saidUntilMillis, startedUntilMillis(facts, limit));
        for (Evacuations.Ended end : ended) {
            if (end.dataCentre().equals(server.dataCentre()) && facts.saidWarmRevision <= end.revision()) {
                untilMillis = Math.max(untilMillis, end.atMillis() + limit.coldMillis());
            }
        }
        return untilMillis;
    }

    private static long startedUntilMillis(Facts facts, ColdLimit limit) {
        if (facts.started) {
            return facts.firstSeenMillis + limit.coldMillis();
        }
        if (facts.ageMillis.isEmpty()) {
            return NEVER;
        }
        long leftMillis = limit.coldMillis() + CLOCK_ERROR_MILLIS - facts.ageMillis.getAsLong();
        return leftMillis <= 0 ? NEVER : facts.firstSeenMillis + Math.min(limit.coldMillis(), leftMillis);
    }
}
