package org.cowslipbank.decision.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Load and health of each incarnation of an upstream, as observed by this node: requests in flight, silence and
 * failures. Acts as a circuit breaker: a failing upstream is quarantined and then tried with one request at a time.
 * Confined to the traffic thread.
 */
public final class UpstreamLoads {
    /** How a request ended at an upstream. */
    public enum Outcome {
        /** The upstream answered. */
        ANSWERED,
        /** The upstream answered with a server error or a malformed response. */
        FAILED,
        /** The upstream stated that it did not run the request. */
        REJECTED,
        /** The connection broke. */
        BROKEN,
        /** No connection could be opened. */
        UNREACHABLE,
        /** The request was moved away because the upstream was silent. */
        SILENT,
        /** The client disconnected or its deadline passed. */
        ABANDONED
    }

    /**
     * How long an upstream may send nothing on any connection while requests are in flight. Engines send an event every
     * few milliseconds; computing a long prompt at a busy engine takes up to about 400 ms.
     */
    public static final long SILENCE_LIMIT_MILLIS = 600;

    /** Longest silence of a sound upstream that goes on afterwards; stated by the platform as a second or so. */
    static final long SOUND_SILENCE_MILLIS = 1_400;

    /**
     * Silence from which on an upstream counts among those that are silent together, and for which it is excused once the
     * others have gone on.
     */
    static final long SHARED_SILENCE_MILLIS = 300;

    /** Number of upstreams that are silent together from which on the silence says nothing about one of them. */
    static final int MIN_SILENT_TOGETHER = 2;

    /** Shortest silence that indicates a fault of a plain server: its slowest answers take about 110 ms. */
    static final long MIN_PLAIN_SILENCE_MILLIS = 200;

    /** Multiple of a plain route's latency objective after which a silent server is treated as dead. */
    static final long PLAIN_SILENCE_PER_OBJECTIVE = 2;

    /** Quarantine after broken connections; short, because a crashed process refuses connections at once. */
    static final long BROKEN_QUARANTINE_MILLIS = 250;

    /** Consecutive broken connections before an upstream is quarantined; a single one may be just a lost answer. */
    static final int CONSECUTIVE_BROKEN_LIMIT = 2;

    /** Quarantine after an upstream was unreachable, and longest one after it was silent; a trial request follows. */
    static final long SILENT_QUARANTINE_MILLIS = 1_500;

    /** First quarantine for silence, doubled until bytes arrive; a sound upstream may be silent for a second. */
    static final long FIRST_SILENT_QUARANTINE_MILLIS = 500;

    /** Quarantine after a rejection: an engine that loads weights or is full rejects for some hundred milliseconds. */
    static final long REJECTED_QUARANTINE_MILLIS = 150;

    /** Weight of the newest outcome in the failure rate; a failing upstream is detected after about 25 requests. */
    static final double FAILURE_SAMPLE_WEIGHT = 0.08;

    /**
     * Failure rate above which an upstream is quarantined; plain services fail about one request in seven by design.
     */
    static final double FAILURE_RATE_LIMIT = 0.4;

    /** Quarantine of an upstream whose failure rate is too high; then it gets requests again. */
    static final long FAILING_QUARANTINE_MILLIS = 1_000;

    private final Map<String, UpstreamLoad> loads = new HashMap<>();

    /**
     * Returns how long a plain server may be silent while requests are in flight.
     *
     * @param objectiveMillis the route's latency objective in milliseconds
     * @return the time in milliseconds
     */
    public static long plainSilenceLimitMillis(long objectiveMillis) {
        return Math.min(
                SILENCE_LIMIT_MILLIS,
                Math.max(MIN_PLAIN_SILENCE_MILLIS, PLAIN_SILENCE_PER_OBJECTIVE * objectiveMillis));
    }

    /**
     * Records that a request was sent.
     *
     * @param incarnation the upstream's incarnation
     * @param tokens tokens of its prompt
     * @param unreadTokens prompt tokens that the upstream probably has to compute
     * @param silenceLimitMillis silence after which the upstream counts as silent, in milliseconds
     * @param nowMillis the time in milliseconds
     */
    public void onSent(String incarnation, int tokens, int unreadTokens, long silenceLimitMillis, long nowMillis) {
        UpstreamLoad load = load(incarnation);
        load.silenceLimitMillis = silenceLimitMillis;
        load.inFlight++;
        load.tokensInFlight += tokens;
        load.unreadTokens += unreadTokens;
        if (load.silentSinceMillis == UpstreamLoad.NEVER) {
            load.silentSinceMillis = nowMillis;
        }
    }

    /**
     * Reserves capacity for a waiting prompt. The reservation counts as load in flight, in the digests to other nodes
     * too.
     *
     * @param incarnation the upstream's incarnation
     * @param tokens tokens of the prompt; negative to release the reservation
     */
    public void reserveTokens(String incarnation, int tokens) {
        UpstreamLoad load = load(incarnation);
        load.reservedTokens = Math.max(0, load.reservedTokens + tokens);
    }

    /**
     * Records that the upstream has computed a request's prompt, or that the request ended before.
     *
     * @param incarnation the upstream's incarnation
     * @param unreadTokens the value passed to {@link #onSent} for the request
     */
    public void onPromptComputed(String incarnation, int unreadTokens) {
        UpstreamLoad load = load(incarnation);
        load.unreadTokens = Math.max(0, load.unreadTokens - unreadTokens);
    }

    /**
     * Records that bytes arrived from an upstream. They end a quarantine for silence, but not one for connections that
     * could not be opened: those that are open may go on all the same.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     */
    public void onBytesReceived(String incarnation, long nowMillis) {
        UpstreamLoad load = load(incarnation);
        load.silentSinceMillis = load.inFlight > 0 ? nowMillis : UpstreamLoad.NEVER;
        load.silenceQuarantinedUntilMillis = UpstreamLoad.NEVER;
        load.consecutiveSilences = 0;
        load.halfOpen = false;
    }

    /**
     * Excuses the silence of all upstreams for a time in which this node did not read its sockets. A starved node would
     * otherwise take sound upstreams for silent ones and run their requests again elsewhere.
     *
     * @param unreadMillis how long the sockets were not read, in milliseconds
     * @param nowMillis the time in milliseconds
     */
    public void excuseSilence(long unreadMillis, long nowMillis) {
        for (UpstreamLoad load : loads.values()) {
            if (load.silentSinceMillis != UpstreamLoad.NEVER) {
                load.silentSinceMillis = Math.min(nowMillis, load.silentSinceMillis + unreadMillis);
            }
        }
    }

    /**
     * Records the end of a request.
     *
     * @param incarnation the upstream's incarnation
     * @param tokens tokens of its prompt
     * @param outcome how it ended
     * @param nowMillis the time in milliseconds
     */
    public void onEnded(String incarnation, int tokens, Outcome outcome, long nowMillis) {
        UpstreamLoad load = load(incarnation);
        load.inFlight = Math.max(0, load.inFlight - 1);
        load.tokensInFlight = Math.max(0, load.tokensInFlight - tokens);
        if (load.inFlight == 0) {
            load.silentSinceMillis = UpstreamLoad.NEVER;
        }
        switch (outcome) {
            case ANSWERED -> {
                load.consecutiveBroken = 0;
                recordOutcome(load, false, nowMillis);
            }
            case FAILED -> recordOutcome(load, true, nowMillis);
            case REJECTED -> quarantine(load, nowMillis + REJECTED_QUARANTINE_MILLIS);
            case BROKEN -> {
                recordOutcome(load, true, nowMillis);
                if (++load.consecutiveBroken >= CONSECUTIVE_BROKEN_LIMIT) {
                    quarantine(load, nowMillis + BROKEN_QUARANTINE_MILLIS);
                    load.halfOpen = true;
                }
            }
            case UNREACHABLE -> {
                quarantine(load, nowMillis + SILENT_QUARANTINE_MILLIS);
                load.halfOpen = true;
            }
            case SILENT -> {
                quarantineForSilence(load, nowMillis);
                load.halfOpen = true;
            }
            default -> {
                // A client that disconnects says nothing about the upstream.
            }
        }
    }

    private static void recordOutcome(UpstreamLoad load, boolean failed, long nowMillis) {
        load.failureRate += FAILURE_SAMPLE_WEIGHT * ((failed ? 1 : 0) - load.failureRate);
        if (load.failureRate > FAILURE_RATE_LIMIT) {
            quarantine(load, nowMillis + FAILING_QUARANTINE_MILLIS);
            load.failureRate /= 2;
        }
    }

    // All requests in flight end for one silence, some of them later than others.
    private static void quarantineForSilence(UpstreamLoad load, long nowMillis) {
        if (nowMillis >= load.silenceQuarantinedUntilMillis) {
            load.consecutiveSilences++;
        }
        long millis = FIRST_SILENT_QUARANTINE_MILLIS;
        for (int silence = 1; silence < load.consecutiveSilences && millis < SILENT_QUARANTINE_MILLIS; silence++) {
            millis *= 2;
        }
        load.silenceQuarantinedUntilMillis = nowMillis + Math.min(SILENT_QUARANTINE_MILLIS, millis);
    }

    private static void quarantine(UpstreamLoad load, long untilMillis) {
        load.quarantinedUntilMillis = Math.max(load.quarantinedUntilMillis, untilMillis);
    }

    /**
     * Records the weight version stated in an upstream's answer.
     *
     * @param incarnation the upstream's incarnation
     * @param version the weight version
     */
    public void onVersion(String incarnation, long version) {
        load(incarnation).weightVersion = version;
    }

    /**
     * Returns the weight version stated in an upstream's latest answer.
     *
     * @param incarnation the upstream's incarnation
     * @return the version, zero if no answer stated one
     */
    public long weightVersion(String incarnation) {
        UpstreamLoad load = loads.get(incarnation);
        return load == null ? 0 : load.weightVersion;
    }

    /**
     * Returns whether an upstream should get new requests.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return false while it is silent, quarantined, or half-open with its one trial request in flight
     */
    public boolean isAvailable(String incarnation, long nowMillis) {
        return eligibility(incarnation, nowMillis).isEligible();
    }

    /**
     * Returns whether an upstream should get new requests, or why not.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return quarantined also while its one trial request is in flight
     */
    public Eligibility eligibility(String incarnation, long nowMillis) {
        UpstreamLoad load = loads.get(incarnation);
        if (load == null) {
            return Eligibility.ELIGIBLE;
        }
        if (nowMillis < load.silenceQuarantinedUntilMillis || isSilent(load, nowMillis)) {
            return Eligibility.SILENT;
        }
        boolean trialInFlight = load.halfOpen && load.inFlight > 0;
        return nowMillis < load.quarantinedUntilMillis || trialInFlight
                ? Eligibility.QUARANTINED
                : Eligibility.ELIGIBLE;
    }

    /**
     * Returns whether an upstream has sent nothing for longer than its limit although requests are in flight.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return true if the upstream counts as silent
     */
    public boolean isSilent(String incarnation, long nowMillis) {
        UpstreamLoad load = loads.get(incarnation);
        return load != null && isSilent(load, nowMillis);
    }

    /**
     * Returns whether an upstream is silent together with most others that have requests in flight, or was a short time ago,
     * and not yet for longer than a sound one may be. All of their requests would be moved to upstreams that are as silent,
     * and would use up the retry budget. Upstreams that paused together do not go on at the same moment, so the first one
     * that does says nothing about the others; this holds only if the method is called regularly during the silence.
     *
     * @param incarnation the upstream's incarnation
     * @param others the incarnations of all upstreams of the service
     * @param nowMillis the time in milliseconds
     * @return true if the silence is no reason to move a request
     */
    public boolean isSilentWithOthers(String incarnation, Collection<String> others, long nowMillis) {
        UpstreamLoad own = loads.get(incarnation);
        if (own == null || silenceMillis(own, nowMillis) >= SOUND_SILENCE_MILLIS) {
            return false;
        }
        int busy = 0;
        int silent = 0;
        for (String other : others) {
            UpstreamLoad load = loads.get(other);
            if (load != null && load.inFlight > 0) {
                busy++;
                silent += silenceMillis(load, nowMillis) >= SHARED_SILENCE_MILLIS ? 1 : 0;
            }
        }
        if (silent >= MIN_SILENT_TOGETHER && 2 * silent > busy) {
            own.silentWithOthersMillis = nowMillis;
            return true;
        }
        return own.silentWithOthersMillis != UpstreamLoad.NEVER
                && nowMillis - own.silentWithOthersMillis < SHARED_SILENCE_MILLIS;
    }

    /**
     * Returns for how long an upstream has sent nothing although requests are in flight.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return the time in milliseconds, zero without requests in flight
     */
    public long silenceMillis(String incarnation, long nowMillis) {
        UpstreamLoad load = loads.get(incarnation);
        return load == null ? 0 : Math.max(0, silenceMillis(load, nowMillis));
    }

    private static long silenceMillis(UpstreamLoad load, long nowMillis) {
        return load.silentSinceMillis == UpstreamLoad.NEVER ? 0 : nowMillis - load.silentSinceMillis;
    }

    private static boolean isSilent(UpstreamLoad load, long nowMillis) {
        return load.silentSinceMillis != UpstreamLoad.NEVER
                && nowMillis - load.silentSinceMillis >= load.silenceLimitMillis;
    }

    /**
     * Returns for how long all upstreams with requests in flight have sent nothing.
     *
     * @param nowMillis the time in milliseconds
     * @return the time in milliseconds, zero without requests in flight
     */
    public long allSilentMillis(long nowMillis) {
        return loads.values().stream()
                .filter(load -> load.silentSinceMillis != UpstreamLoad.NEVER)
                .mapToLong(load -> Math.max(0, nowMillis - load.silentSinceMillis))
                .min()
                .orElse(0);
    }

    /** Ends all quarantines, because the failures that led to them were those of this node's own links. */
    public void endQuarantines() {
        for (UpstreamLoad load : loads.values()) {
            load.quarantinedUntilMillis = UpstreamLoad.NEVER;
            load.halfOpen = false;
            load.consecutiveBroken = 0;
        }
    }

    /**
     * Returns the load that this node has in flight at an upstream, reservations included.
     *
     * @param incarnation the upstream's incarnation
     * @return the load
     */
    public FleetLoads.Load inFlight(String incarnation) {
        UpstreamLoad load = loads.get(incarnation);
        return load == null
                ? FleetLoads.Load.NONE
                : new FleetLoads.Load(load.inFlight, load.tokensInFlight + load.reservedTokens, load.unreadTokens);
    }

    /**
     * Removes upstreams that no longer exist and have neither requests in flight nor reservations.
     *
     * @param known the incarnations that still exist
     */
    public void retain(Set<String> known) {
        loads.entrySet()
                .removeIf(entry -> !known.contains(entry.getKey())
                        && entry.getValue().inFlight == 0
                        && entry.getValue().reservedTokens == 0);
    }

    private UpstreamLoad load(String incarnation) {
        return loads.computeIfAbsent(incarnation, key -> new UpstreamLoad());
    }
}
