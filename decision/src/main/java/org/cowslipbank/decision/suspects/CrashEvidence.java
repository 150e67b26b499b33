package org.cowslipbank.decision.suspects;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cowslipbank.decision.suspects.CrashCauses.Suspect;

/**
 * Collects the reports of all nodes on crashes of upstreams, and on answers that went on well, and derives the verdicts.
 * Revisions of the store through which the reports are exchanged tell whether an answer was seen after a crash, so that
 * no clock is compared between nodes. Confined to the control thread.
 */
public final class CrashEvidence {
    /** Crashes after which a suspect is refused; the platform's rules state the same number for repeated requests. */
    public static final int MIN_CRASHES = 3;

    /** Crashes from which on nodes tell each other of answers which show that a suspect is sound. */
    static final int MIN_WATCHED_CRASHES = 2;

    /** How long a report counts; clients go on sending requests with the same prompt parts for minutes. */
    public static final long REPORT_TTL_MILLIS = 600_000;

    private static final long NEVER = -1;

    private final Map<String, Crash> crashes = new HashMap<>();
    private final Map<Suspect, Set<String>> incarnationsBySuspect = new HashMap<>();
    private final Set<Suspect> repeated = new HashSet<>();

    /** Revision of the last crash of each suspect that no sound answer has followed, by the suspect's identifier. */
    private final Map<String, Long> suspectedAtRevision = new HashMap<>();

    /** Evidence that the nodes have told each other, the same on all of them; decides what still has to be told. */
    private final Map<String, Long> toldSoundAtRevision = new HashMap<>();

    /** The same with the sound answers of this node. */
    private final Map<String, Long> soundAtRevision = new HashMap<>();

    private CrashVerdicts verdicts = CrashVerdicts.NONE;
    private boolean outdated;

    /** A crash; it happened before the first report on it. */
    private record Crash(long firstRevision, long receivedMillis) {}

    /**
     * Adds a node's report on a crash.
     *
     * @param incarnation the incarnation of the upstream that crashed
     * @param suspects what was in progress there and had not been answered for long
     * @param revision the store's revision of the report
     * @param nowMillis the monotonic time in milliseconds
     */
    public void addReport(String incarnation, Set<Suspect> suspects, long revision, long nowMillis) {
        dropExpired(nowMillis);
        crashes.merge(
                incarnation,
                new Crash(revision, nowMillis),
                (known, added) -> new Crash(Math.min(known.firstRevision(), revision), known.receivedMillis()));
        for (Suspect suspect : suspects) {
            Set<String> incarnations = incarnationsBySuspect.computeIfAbsent(suspect, key -> new HashSet<>());
            incarnations.add(incarnation);
            if (incarnations.size() >= MIN_WATCHED_CRASHES) {
                repeated.add(suspect);
                outdated = true;
            }
            suspect(suspect.id(), crashes.get(incarnation).firstRevision());
        }
    }

    private void suspect(String id, long crashRevision) {
        if (crashRevision > soundAtRevision.getOrDefault(id, NEVER)) {
            outdated |= suspectedAtRevision.merge(id, crashRevision, Math::max) == crashRevision;
        }
    }

    /**
     * Drops reports that no longer count.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return true if there were any
     */
    public boolean dropExpired(long nowMillis) {
        if (crashes.values().removeIf(crash -> nowMillis - crash.receivedMillis() > REPORT_TTL_MILLIS)) {
            incarnationsBySuspect.values().forEach(incarnations -> incarnations.retainAll(crashes.keySet()));
            incarnationsBySuspect.values().removeIf(Set::isEmpty);
            repeated.retainAll(incarnationsBySuspect.keySet());
            Set<String> reported = new HashSet<>();
            incarnationsBySuspect.keySet().forEach(suspect -> reported.add(suspect.id()));
            toldSoundAtRevision.keySet().retainAll(reported);
            soundAtRevision.keySet().retainAll(reported);
            suspectedAtRevision.keySet().retainAll(reported);
            outdated = true;
            return true;
        }
        return false;
    }

    /**
     * Clears suspects of all crashes that were reported up to a revision, as a node has told all others.
     *
     * @param revisionBySuspect for each suspect the revision that was known when an answer with it went on well
     */
    public void addSound(Map<String, Long> revisionBySuspect) {
        revisionBySuspect.forEach((id, revision) -> toldSoundAtRevision.merge(id, revision, Math::max));
        addOwnSound(revisionBySuspect);
    }

    /**
     * Clears suspects of all crashes that were reported up to a revision, by answers of this node that the other nodes may
     * not know.
     *
     * @param revisionBySuspect for each suspect the revision that was known when an answer with it went on well
     */
    public void addOwnSound(Map<String, Long> revisionBySuspect) {
        revisionBySuspect.forEach((id, revision) -> {
            soundAtRevision.merge(id, revision, Math::max);
            suspectedAtRevision.computeIfPresent(id, (key, crash) -> crash <= revision ? null : crash);
        });
        outdated = true;
    }

    /**
     * Returns the verdicts.
     *
     * @return the verdicts on all suspects
     */
    public CrashVerdicts verdicts() {
        if (outdated) {
            outdated = false;
            verdicts = deriveVerdicts();
        }
        return verdicts;
    }

    private CrashVerdicts deriveVerdicts() {
        Set<String> watched = new HashSet<>();
        Map<String, Set<Suspect>> suspectsByCrash = new HashMap<>();
        for (Suspect suspect : repeated) {
            if (unclearedCrashes(suspect, toldSoundAtRevision).size() >= MIN_WATCHED_CRASHES) {
                watched.add(suspect.id());
            }
            List<String> uncleared = unclearedCrashes(suspect, soundAtRevision);
            if (uncleared.size() >= MIN_CRASHES) {
                uncleared.forEach(crash -> suspectsByCrash
                        .computeIfAbsent(crash, key -> new HashSet<>())
                        .add(suspect));
            }
        }
        Map<String, Long> watchedSinceByCause = new HashMap<>();
        CrashCauses.find(suspectsByCrash.values(), MIN_CRASHES)
                .forEach(cause -> watchedSinceByCause.put(cause.id(), watchedSinceMillis(cause)));
        return new CrashVerdicts(
                watchedSinceByCause.keySet(), watched, watchedSinceByCause, suspectedAtRevision.keySet());
    }

    /** Returns when this node received the first report on the crash from which on a suspect is watched. */
    private long watchedSinceMillis(Suspect suspect) {
        return unclearedCrashes(suspect, soundAtRevision).stream()
                .mapToLong(incarnation -> crashes.get(incarnation).receivedMillis())
                .sorted()
                .skip(MIN_WATCHED_CRASHES - 1)
                .findFirst()
                .orElseThrow();
    }

    private List<String> unclearedCrashes(Suspect suspect, Map<String, Long> evidence) {
        long clearedUpTo = evidence.getOrDefault(suspect.id(), NEVER);
        return incarnationsBySuspect.getOrDefault(suspect, Set.of()).stream()
                .filter(incarnation -> crashes.get(incarnation).firstRevision() > clearedUpTo)
                .toList();
    }
}
