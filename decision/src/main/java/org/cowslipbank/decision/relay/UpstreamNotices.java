package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.cowslipbank.model.BoundedMap;
import org.cowslipbank.model.relay.UpstreamNotice;

/**
 * What upstreams say of themselves in their answers, and whether they may get a request: a limit on their requests
 * ({@link UpstreamLimits}), that they leave, that they want a pause, or that they are brittle ({@link BrittleUpstreams}).
 * Holds the send permits for upstreams that are cold ({@link ColdUpstreams}) as well, because they are asked together.
 *
 * <p>Load pattern: an upstream in need is relieved by its own word, before its registration or its failures tell. A limit
 * counts the requests of all nodes and its end matters as well, so nodes tell each other both. Leaving is true for all nodes,
 * and they tell each other that, too. A pause binds only the node that was asked for it. Each is bound to the
 * incarnation: an upstream at the same address inherits nothing. Leaving never ends, a pause ends with its time, and no
 * later answer shortens it. Confined to the traffic thread, except {@link #isLeaving}.
 */
public final class UpstreamNotices {
    /** Longest pause that is observed; a longer one is taken for a mistake of the upstream. */
    public static final long MAX_PAUSE_MILLIS = 60_000;

    /** Requests that may be sent in a pause if there is no other upstream; stated by the platform's rules. */
    static final int MAX_SENDS_IN_PAUSE = 2;

    /** Upstreams that are remembered as leaving; the ones that said so first are forgotten. */
    static final int MAX_LEAVING = 4_000;

    private final UpstreamLimits limits = new UpstreamLimits();
    private final BrittleUpstreams brittle = new BrittleUpstreams();
    private final ColdUpstreams cold = new ColdUpstreams();
    private final Map<String, Pause> pauses = new HashMap<>();
    private final Map<Integer, Long> leavingSinceMillis =
            Collections.synchronizedMap(BoundedMap.byAddition(MAX_LEAVING));

    /** A pause that an upstream has asked this node for. */
    private static final class Pause {
        private long untilMillis;
        private int sends;
    }

    /** What an answer has changed. */
    public enum Change {
        /** The upstream begins to name a limit. */
        LIMITED,
        /** The upstream no longer names a limit. */
        UNLIMITED,
        /** The upstream leaves. */
        LEAVING,
        /** The upstream asks for a pause, or for a longer one. */
        PAUSED,
        /** The upstream begins to say that it is brittle. */
        BRITTLE,
        /** The upstream can reject another number of requests than before. */
        BRITTLE_CHANGED,
        /** The upstream no longer says that it is brittle. */
        BRITTLE_ENDED
    }

    /**
     * Records an answer of an upstream.
     *
     * @param incarnation the upstream's incarnation
     * @param notice what the answer says
     * @param sentMillis when the answered request was sent
     * @param nowMillis the time in milliseconds
     * @return what this node did not know before
     */
    public Set<Change> onAnswer(String incarnation, UpstreamNotice notice, long sentMillis, long nowMillis) {
        Set<Change> changes = EnumSet.noneOf(Change.class);
        if (limits.onAnswer(incarnation, notice.requestsPerSecond(), sentMillis, nowMillis)) {
            changes.add(notice.requestsPerSecond().isPresent() ? Change.LIMITED : Change.UNLIMITED);
        }
        if (notice.leaving() && leavingSinceMillis.putIfAbsent(UpstreamLimits.keyOf(incarnation), nowMillis) == null) {
            changes.add(Change.LEAVING);
        }
        if (notice.pauseMillis().isPresent()
                && pause(incarnation, notice.pauseMillis().getAsLong(), nowMillis)) {
            changes.add(Change.PAUSED);
        }
        brittle.onAnswer(incarnation, notice.maxRejectionsPerSecond(), sentMillis, nowMillis)
                .map(UpstreamNotices::changeOf)
                .ifPresent(changes::add);
        return changes;
    }

    private static Change changeOf(BrittleUpstreams.Change change) {
        return switch (change) {
            case BEGUN -> Change.BRITTLE;
            case CHANGED -> Change.BRITTLE_CHANGED;
            case ENDED -> Change.BRITTLE_ENDED;
        };
    }

    private boolean pause(String incarnation, long pauseMillis, long nowMillis) {
        long untilMillis = nowMillis + Math.min(MAX_PAUSE_MILLIS, pauseMillis);
        Pause pause = pauses.computeIfAbsent(incarnation, key -> new Pause());
        if (untilMillis <= pause.untilMillis) {
            return false;
        }
        if (pause.untilMillis <= nowMillis) {
            pause.sends = 0;
        }
        pause.untilMillis = untilMillis;
        return true;
    }

    /**
     * Returns whether this node may send a request now.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return false if the upstream leaves, wants a pause, or this node's share of its limit, or of its rate while it is
     *     cold, is used up
     */
    public boolean maySend(String incarnation, long nowMillis) {
        return eligibility(incarnation, nowMillis).isEligible();
    }

    /**
     * Returns whether this node may send a request now, or why not.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return the first reason against it
     */
    public Eligibility eligibility(String incarnation, long nowMillis) {
        if (isLeaving(incarnation)) {
            return Eligibility.LEAVING;
        }
        if (pauseEndMillis(incarnation, nowMillis).isPresent()) {
            return Eligibility.PAUSED;
        }
        if (!limits.maySend(incarnation, nowMillis)) {
            return Eligibility.LIMITED;
        }
        return cold.maySend(incarnation, nowMillis) ? Eligibility.ELIGIBLE : Eligibility.COLD_WITHOUT_PERMIT;
    }

    /**
     * Returns whether this node may send one of the few requests that a pause allows.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return true if the upstream wants a pause and few requests were sent in it
     */
    public boolean mayProbe(String incarnation, long nowMillis) {
        return pauseEndMillis(incarnation, nowMillis).isPresent()
                && !isLeaving(incarnation)
                && pauses.get(incarnation).sends < MAX_SENDS_IN_PAUSE
                && limits.maySend(incarnation, nowMillis)
                && cold.maySend(incarnation, nowMillis);
    }

    /**
     * Returns whether the upstream leaves or wants a pause.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return true if it should get no request
     */
    public boolean isHeldBack(String incarnation, long nowMillis) {
        return isLeaving(incarnation) || pauseEndMillis(incarnation, nowMillis).isPresent();
    }

    /**
     * Returns whether the upstream has announced that it leaves. May be called by any thread.
     *
     * @param incarnation the upstream's incarnation
     * @return true if it leaves, as far as this node knows
     */
    public boolean isLeaving(String incarnation) {
        return !leavingSinceMillis.isEmpty() && leavingSinceMillis.containsKey(UpstreamLimits.keyOf(incarnation));
    }

    /**
     * Returns when the pause of an upstream ends.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return the time in milliseconds, or empty if it wants no pause now
     */
    public OptionalLong pauseEndMillis(String incarnation, long nowMillis) {
        Pause pause = pauses.isEmpty() ? null : pauses.get(incarnation);
        return pause == null || nowMillis >= pause.untilMillis
                ? OptionalLong.empty()
                : OptionalLong.of(pause.untilMillis);
    }

    /**
     * Records that this node sends a request.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     */
    public void onSent(String incarnation, long nowMillis) {
        limits.onSent(incarnation, nowMillis);
        cold.onSent(incarnation, nowMillis);
        if (pauseEndMillis(incarnation, nowMillis).isPresent()) {
            pauses.get(incarnation).sends++;
        }
    }

    /**
     * Returns whether the number of requests to an upstream is limited, as far as this node knows.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return true if it names a limit or is cold
     */
    public boolean isLimited(String incarnation, long nowMillis) {
        return limits.isLimited(incarnation) || cold.isCold(incarnation, nowMillis);
    }

    /**
     * Returns the cold upstreams.
     *
     * @return the upstreams
     */
    public ColdUpstreams cold() {
        return cold;
    }

    /**
     * Returns the limits as nodes exchange them.
     *
     * @return the limits
     */
    public UpstreamLimits limits() {
        return limits;
    }

    /**
     * Returns what is known of brittle upstreams, as nodes exchange it.
     *
     * @return the brittle upstreams
     */
    public BrittleUpstreams brittle() {
        return brittle;
    }

    /**
     * Returns which upstreams this node has recently learned to be leaving, for the other nodes.
     *
     * @param nowMillis the time in milliseconds
     * @return their numbers as by {@link UpstreamLimits#keyOf}
     */
    public List<Integer> leavingToTell(long nowMillis) {
        if (leavingSinceMillis.isEmpty()) {
            return List.of();
        }
        List<Integer> recent = new ArrayList<>();
        synchronized (leavingSinceMillis) {
            leavingSinceMillis.forEach((key, sinceMillis) -> {
                if (nowMillis - sinceMillis < UpstreamLimits.SHARED_MILLIS) {
                    recent.add(key);
                }
            });
        }
        return recent;
    }

    /**
     * Records what another node has learned.
     *
     * @param key number of an upstream that leaves
     * @param nowMillis the time in milliseconds
     */
    public void onLeavingTold(int key, long nowMillis) {
        leavingSinceMillis.putIfAbsent(key, nowMillis);
    }

    /**
     * Removes pauses that have ended.
     *
     * @param nowMillis the time in milliseconds
     * @return the incarnations of their upstreams
     */
    public List<String> takeEndedPauses(long nowMillis) {
        List<String> ended = new ArrayList<>();
        Iterator<Map.Entry<String, Pause>> entries = pauses.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Pause> entry = entries.next();
            if (nowMillis >= entry.getValue().untilMillis) {
                ended.add(entry.getKey());
                entries.remove();
            }
        }
        return ended;
    }

    /**
     * Forgets the limits of upstreams that no longer exist.
     *
     * @param incarnations the incarnations that exist
     */
    public void retain(Set<String> incarnations) {
        limits.retain(incarnations);
    }
}
