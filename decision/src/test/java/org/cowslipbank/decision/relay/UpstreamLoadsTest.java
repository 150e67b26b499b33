package org.cowslipbank.decision.relay;

import java.util.Random;

import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.UpstreamLoads.Outcome;

final class UpstreamLoadsTest {
    private final UpstreamLoads loads = new UpstreamLoads();

    /**
     * Failure guarded against: requests pile up at an upstream that stops answering without closing its connections.
     */
    @Example
    void silentUpstreamGetsNothingNew() {
        loads.onSent("u", 100, 50, UpstreamLoads.SILENCE_LIMIT_MILLIS, 0);
        assert loads.isAvailable("u", UpstreamLoads.SILENCE_LIMIT_MILLIS - 1);
        assert !loads.isAvailable("u", UpstreamLoads.SILENCE_LIMIT_MILLIS);
        loads.onBytesReceived("u", 700);
        assert loads.isAvailable("u", 701);
    }

    /**
     * Failure guarded against: a starved node takes sound upstreams for silent ones, because it has not read what they
     * sent, and runs their requests again elsewhere.
     */
    @Example
    void silenceWhileSocketsAreNotReadIsExcused() {
        loads.onSent("u", 100, 50, UpstreamLoads.SILENCE_LIMIT_MILLIS, 0);
        loads.excuseSilence(1_500, 1_600);
        assert loads.isAvailable("u", 1_600);
        assert !loads.isAvailable("u", 1_500 + UpstreamLoads.SILENCE_LIMIT_MILLIS);
        loads.onSent("v", 100, 50, UpstreamLoads.SILENCE_LIMIT_MILLIS, 2_000);
        loads.excuseSilence(1_500, 2_010);
        assert !loads.isAvailable("v", 2_010 + UpstreamLoads.SILENCE_LIMIT_MILLIS);
    }

    /** Failure guarded against: an idle upstream counts as silent. */
    @Example
    void idleUpstreamIsNotSilent() {
        loads.onSent("u", 100, 50, UpstreamLoads.SILENCE_LIMIT_MILLIS, 0);
        loads.onEnded("u", 100, Outcome.ANSWERED, 10);
        assert !loads.isSilent("u", 60_000);
        loads.onSent("u", 100, 50, UpstreamLoads.SILENCE_LIMIT_MILLIS, 60_000);
        assert !loads.isSilent("u", 60_100);
    }

    /** Failure guarded against: after the quarantine all nodes send all requests to a server that is still dead. */
    @Example
    void oneTrialRequestAfterSilence() {
        long nowMillis = 0;
        for (long quarantineMillis : new long[] {500, 1_000, 1_500, 1_500}) {
            loads.onSent("u", 0, 0, UpstreamLoads.SILENCE_LIMIT_MILLIS, nowMillis);
            assert !loads.isAvailable("u", nowMillis + 1) || nowMillis == 0 : nowMillis;
            nowMillis += 1_000;
            loads.onEnded("u", 0, Outcome.SILENT, nowMillis);
            assert !loads.isAvailable("u", nowMillis + quarantineMillis - 1) : quarantineMillis;
            nowMillis += quarantineMillis;
            assert loads.isAvailable("u", nowMillis) : quarantineMillis;
        }
        long later = nowMillis;
        loads.onSent("u", 0, 0, UpstreamLoads.SILENCE_LIMIT_MILLIS, later);
        assert !loads.isAvailable("u", later + 1);
        loads.onBytesReceived("u", later + 5);
        assert loads.isAvailable("u", later + 6);
        loads.onEnded("u", 0, Outcome.SILENT, later + 700);
        assert loads.isAvailable("u", later + 700 + UpstreamLoads.FIRST_SILENT_QUARANTINE_MILLIS);
    }

    /** Failure guarded against: an upstream that goes on after a pause stays quarantined while it answers other requests. */
    @Example
    void bytesEndTheQuarantineForSilenceAlone() {
        for (Outcome outcome : new Outcome[] {Outcome.SILENT, Outcome.UNREACHABLE}) {
            String upstream = outcome.name();
            loads.onSent(upstream, 0, 0, UpstreamLoads.SILENCE_LIMIT_MILLIS, 0);
            loads.onSent(upstream, 0, 0, UpstreamLoads.SILENCE_LIMIT_MILLIS, 0);
            loads.onEnded(upstream, 0, outcome, 700);
            assert !loads.isAvailable(upstream, 1_000);
            loads.onBytesReceived(upstream, 1_000);
            assert loads.isAvailable(upstream, 1_000) == (outcome == Outcome.SILENT) : outcome;
        }
    }

    /** Failure guarded against: a server that fails half of its requests but passes health checks keeps its traffic. */
    @Example
    void failingUpstreamIsQuarantined() {
        Random random = new Random(5);
        int sent = 0;
        for (long millis = 0; millis < 6_000; millis += 30) {
            if (loads.isAvailable("grey", millis)) {
                sent++;
                loads.onSent("grey", 0, 0, UpstreamLoads.SILENCE_LIMIT_MILLIS, millis);
                loads.onBytesReceived("grey", millis + 20);
                loads.onEnded("grey", 0, random.nextDouble() < 0.45 ? Outcome.FAILED : Outcome.ANSWERED, millis + 20);
            }
        }
        assert sent < 120 : sent;
    }

    /** Failure guarded against: an application that answers one request in seven with an error is quarantined. */
    @Example
    void ordinaryErrorRateIsTolerated() {
        Random random = new Random(6);
        int quarantined = 0;
        for (long millis = 0; millis < 60_000; millis += 30) {
            quarantined += loads.isAvailable("app", millis) ? 0 : 1;
            loads.onSent("app", 0, 0, UpstreamLoads.SILENCE_LIMIT_MILLIS, millis);
            loads.onBytesReceived("app", millis + 20);
            loads.onEnded("app", 0, random.nextDouble() < 0.14 ? Outcome.FAILED : Outcome.ANSWERED, millis + 20);
        }
        assert quarantined < 2_000 * 0.1 : quarantined;
    }

    /** Failure guarded against: counts drift when a request ends before its first event. */
    @Example
    void countsReturnToZero() {
        loads.onSent("u", 100, 50, UpstreamLoads.SILENCE_LIMIT_MILLIS, 0);
        loads.onPromptComputed("u", 50);
        loads.onEnded("u", 100, Outcome.BROKEN, 10);
        assert loads.inFlight("u").equals(FleetLoads.Load.NONE);
    }

    /**
     * Failure guarded against: lost answers of single requests quarantine all three servers of a service, and orders
     * are refused although servers are free (serra-corte trouble-2).
     */
    @Example
    void oneBrokenConnectionIsNoCrash() {
        loads.onSent("u", 0, 0, UpstreamLoads.SILENCE_LIMIT_MILLIS, 0);
        loads.onEnded("u", 0, Outcome.BROKEN, 10);
        assert loads.isAvailable("u", 11);
        loads.onSent("u", 0, 0, UpstreamLoads.SILENCE_LIMIT_MILLIS, 20);
        loads.onEnded("u", 0, Outcome.BROKEN, 30);
        assert !loads.isAvailable("u", 31);
    }

    /** Failure guarded against: requests stay at a dead plain server until their deadline. */
    @Example
    void plainServersHaveAShorterSilenceLimit() {
        long silenceMillis = UpstreamLoads.plainSilenceLimitMillis(121);
        assert silenceMillis == 242 : silenceMillis;
        assert UpstreamLoads.plainSilenceLimitMillis(20) == UpstreamLoads.MIN_PLAIN_SILENCE_MILLIS;
        loads.onSent("app", 0, 0, silenceMillis, 0);
        assert !loads.isAvailable("app", silenceMillis);
    }
}
