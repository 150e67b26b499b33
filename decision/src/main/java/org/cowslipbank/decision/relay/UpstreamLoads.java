package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What this node has seen of each incarnation of an upstream: requests in flight, silence, failures. Owned by the
 * traffic thread.
 */
public final class UpstreamLoads {
    /** How a request ended at an upstream. */
    public enum Outcome {
        /** The upstream answered. */
        ANSWERED,
        /** The upstream answered with a server error, or with something that is no answer. */
        FAILED,
        /** The upstream stated that it did not run the request. */
        REJECTED,
        /** The connection broke. */
        BROKEN,
        /** No connection could be opened. */
        UNREACHABLE,
        /** The request was moved away because the upstream was silent. */
        SILENT,
        /** The client left, or its time was over. */
        ABANDONED
    }

    /**
     * How long an upstream may be silent on all connections while something is awaited. Engines send an event every few
     * milliseconds; reading a long prompt into a busy engine takes up to about 400 ms.
     */
    public static final long SILENCE_MILLIS = 600;

    /** The shortest silence that tells something of a plain server: the slowest of its answers take about 110 ms. */
    static final long MIN_PLAIN_SILENCE_MILLIS = 200;

    /** Objectives of a plain route after which a silent server is taken for dead. */
    static final long PLAIN_SILENCE_OBJECTIVES = 2;

    /** Pause after a broken connection; a process that crashed refuses connections at once. */
    static final long BROKEN_PAUSE_MILLIS = 250;

    /** Connections that break in a row before an upstream is avoided; one alone may be a lost answer. */
    static final int BROKEN_LIMIT = 2;

    /** Pause after an upstream could not be reached or fell silent; a trial request follows. */
    static final long SILENT_PAUSE_MILLIS = 1_500;

    /** Pause after a rejection: an engine that loads weights or is full rejects for some hundred milliseconds. */
    static final long REJECTED_PAUSE_MILLIS = 150;

    /** Weight of the newest outcome in the moving share of failures: some 25 requests show that an upstream fails. */
    static final double FAILURE_WEIGHT = 0.08;

    /** Share of failures above which an upstream is avoided; plain services fail about one request in seven by design. */
    static final double FAILED_SHARE_LIMIT = 0.4;

    /** Pause of an upstream that fails too many requests; then it is tried again. */
    static final long FAILING_PAUSE_MILLIS = 1_000;

    private final Map<String, UpstreamLoad> loads = new HashMap<>();

    /**
     * Returns how long a plain server may be silent while something is awaited from it.
     *
     * @param objectiveMillis the route's latency objective in milliseconds
     * @return the time in milliseconds
     */
    public static long plainSilenceMillis(long objectiveMillis) {
        return Math.min(SILENCE_MILLIS, Math.max(MIN_PLAIN_SILENCE_MILLIS, PLAIN_SILENCE_OBJECTIVES * objectiveMillis));
    }

    /**
     * Counts a request that is sent.
     *
     * @param incarnation the upstream
     * @param tokens tokens of its prompt
     * @param unreadTokens tokens that the upstream probably has to read
     * @param silenceMillis how long the upstream may be silent, in milliseconds
     * @param nowMillis the time in milliseconds
     */
    public void onSent(String incarnation, int tokens, int unreadTokens, long silenceMillis, long nowMillis) {
        UpstreamLoad load = load(incarnation);
        load.silenceMillis = silenceMillis;
        load.inFlight++;
        load.tokensInFlight += tokens;
        load.unreadTokens += unreadTokens;
        if (load.silentSinceMillis == UpstreamLoad.NEVER) {
            load.silentSinceMillis = nowMillis;
        }
    }

    /**
     * Keeps room for a waiting prompt: it counts as work in flight, at other nodes too.
     *
     * @param incarnation the upstream
     * @param tokens tokens of the prompt; negative to give the room up
     */
    public void book(String incarnation, int tokens) {
        UpstreamLoad load = load(incarnation);
        load.bookedTokens = Math.max(0, load.bookedTokens + tokens);
    }

    /**
     * Notes that a request's prompt is read, or that the request ended before.
     *
     * @param incarnation the upstream
     * @param unreadTokens what was counted when it was sent
     */
    public void onRead(String incarnation, int unreadTokens) {
        UpstreamLoad load = load(incarnation);
        load.unreadTokens = Math.max(0, load.unreadTokens - unreadTokens);
    }

    /**
     * Notes bytes of an upstream.
     *
     * @param incarnation the upstream
     * @param nowMillis the time in milliseconds
     */
    public void onHeard(String incarnation, long nowMillis) {
        UpstreamLoad load = load(incarnation);
        load.silentSinceMillis = load.inFlight > 0 ? nowMillis : UpstreamLoad.NEVER;
        load.onProbation = false;
    }

    /**
     * Counts a request that has ended.
     *
     * @param incarnation the upstream
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
                load.brokenInARow = 0;
                noteFailure(load, false, nowMillis);
            }
            case FAILED -> noteFailure(load, true, nowMillis);
            case REJECTED -> avoid(load, nowMillis + REJECTED_PAUSE_MILLIS);
            case BROKEN -> {
                noteFailure(load, true, nowMillis);
                if (++load.brokenInARow >= BROKEN_LIMIT) {
                    avoid(load, nowMillis + BROKEN_PAUSE_MILLIS);
                    load.onProbation = true;
                }
            }
            case UNREACHABLE, SILENT -> {
                avoid(load, nowMillis + SILENT_PAUSE_MILLIS);
                load.onProbation = true;
            }
            default -> {
                // A client that leaves says nothing of the upstream.
            }
        }
    }

    private static void noteFailure(UpstreamLoad load, boolean failed, long nowMillis) {
        load.failedShare += FAILURE_WEIGHT * ((failed ? 1 : 0) - load.failedShare);
        if (load.failedShare > FAILED_SHARE_LIMIT) {
            avoid(load, nowMillis + FAILING_PAUSE_MILLIS);
            load.failedShare /= 2;
        }
    }

    private static void avoid(UpstreamLoad load, long untilMillis) {
        load.avoidedUntilMillis = Math.max(load.avoidedUntilMillis, untilMillis);
    }

    /**
     * Notes the weight version that an upstream's answer named.
     *
     * @param incarnation the upstream
     * @param version the version
     */
    public void onVersion(String incarnation, long version) {
        load(incarnation).weightVersion = version;
    }

    /**
     * Returns the newest weight version that an upstream's answers named.
     *
     * @param incarnation the upstream
     * @return the version, zero if none was named
     */
    public long weightVersion(String incarnation) {
        return load(incarnation).weightVersion;
    }

    /**
     * Tells whether an upstream should get new requests.
     *
     * @param incarnation the upstream
     * @param nowMillis the time in milliseconds
     * @return false while it is silent, pauses after a failure, or already has its one request on probation
     */
    public boolean isAvailable(String incarnation, long nowMillis) {
        UpstreamLoad load = loads.get(incarnation);
        if (load == null) {
            return true;
        }
        boolean triedAlready = load.onProbation && load.inFlight > 0;
        return nowMillis >= load.avoidedUntilMillis && !triedAlready && !isSilent(load, nowMillis);
    }

    /**
     * Tells whether an upstream has been silent for long although something is awaited from it.
     *
     * @param incarnation the upstream
     * @param nowMillis the time in milliseconds
     * @return true if it has
     */
    public boolean isSilent(String incarnation, long nowMillis) {
        UpstreamLoad load = loads.get(incarnation);
        return load != null && isSilent(load, nowMillis);
    }

    private static boolean isSilent(UpstreamLoad load, long nowMillis) {
        return load.silentSinceMillis != UpstreamLoad.NEVER && nowMillis - load.silentSinceMillis >= load.silenceMillis;
    }

    /**
     * Returns what this node has in flight at an upstream.
     *
     * @param incarnation the upstream
     * @return the work
     */
    public FleetLoads.Load inFlight(String incarnation) {
        UpstreamLoad load = loads.get(incarnation);
        return load == null
                ? FleetLoads.Load.NONE
                : new FleetLoads.Load(load.inFlight, load.tokensInFlight + load.bookedTokens, load.unreadTokens);
    }

    /**
     * Forgets upstreams that are gone and idle.
     *
     * @param known the incarnations that still exist
     */
    public void retain(Set<String> known) {
        loads.entrySet()
                .removeIf(entry -> !known.contains(entry.getKey())
                        && entry.getValue().inFlight == 0
                        && entry.getValue().bookedTokens == 0);
    }

    private UpstreamLoad load(String incarnation) {
        return loads.computeIfAbsent(incarnation, key -> new UpstreamLoad());
    }
}
