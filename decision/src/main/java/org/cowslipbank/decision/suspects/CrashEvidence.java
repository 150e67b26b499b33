package org.cowslipbank.decision.suspects;

import java.util.ArrayList;
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

    /** Crashes from which on answers are watched for evidence that a suspect is sound. */
    static final int MIN_WATCHED_CRASHES = 2;

    /** How long a report counts; clients go on sending requests with the same prompt parts for minutes. */
    public static final long REPORT_TTL_MILLIS = 600_000;

    private final Map<ReportKey, Report> reports = new HashMap<>();
    private final Map<String, Long> soundAtRevision = new HashMap<>();
    private CrashVerdicts verdicts = CrashVerdicts.NONE;

    private record ReportKey(String node, String incarnation) {}

    private record Report(Set<Suspect> suspects, long revision, long receivedMillis) {}

    /**
     * Adds a node's report on a crash. A later report of the node on the same crash replaces it.
     *
     * @param node the reporting node
     * @param incarnation the incarnation of the upstream that crashed
     * @param suspects what was in progress there and had not been answered for long
     * @param revision the store's revision of the report
     * @param nowMillis the monotonic time in milliseconds
     */
    public void addReport(String node, String incarnation, Set<Suspect> suspects, long revision, long nowMillis) {
        dropExpired(nowMillis);
        ReportKey key = new ReportKey(node, incarnation);
        Report known = reports.get(key);
        if (known != null && known.revision() >= revision) {
            return;
        }
        // The crash happened before the first report on it.
        long crashRevision = known == null ? revision : known.revision();
        reports.put(key, new Report(Set.copyOf(suspects), crashRevision, nowMillis));
        deriveVerdicts();
    }

    private void dropExpired(long nowMillis) {
        if (reports.values().removeIf(report -> nowMillis - report.receivedMillis() > REPORT_TTL_MILLIS)) {
            Set<String> reported = new HashSet<>();
            reports.values().forEach(report -> report.suspects().forEach(suspect -> reported.add(suspect.id())));
            soundAtRevision.keySet().retainAll(reported);
        }
    }

    /**
     * Clears suspects of all crashes that were reported up to a revision.
     *
     * @param revisionBySuspect for each suspect the revision that was known when an answer with it went on well
     */
    public void addSound(Map<String, Long> revisionBySuspect) {
        revisionBySuspect.forEach((id, revision) -> soundAtRevision.merge(id, revision, Math::max));
        deriveVerdicts();
    }

    /**
     * Returns the verdicts.
     *
     * @return the verdicts on all suspects
     */
    public CrashVerdicts verdicts() {
        return verdicts;
    }

    private void deriveVerdicts() {
        Map<String, Set<Suspect>> byCrash = new HashMap<>();
        reports.forEach((key, report) -> report.suspects().stream()
                .filter(suspect -> soundAtRevision.getOrDefault(suspect.id(), -1L) < report.revision())
                .forEach(suspect -> byCrash.computeIfAbsent(key.incarnation(), crash -> new HashSet<>())
                        .add(suspect)));
        List<Set<Suspect>> crashes = new ArrayList<>(byCrash.values());
        Map<String, Integer> counts = new HashMap<>();
        crashes.forEach(crash -> crash.forEach(suspect -> counts.merge(suspect.id(), 1, Integer::sum)));
        counts.values().removeIf(count -> count < MIN_WATCHED_CRASHES);
        Set<String> refused = new HashSet<>();
        CrashCauses.find(crashes, MIN_CRASHES).forEach(cause -> refused.add(cause.id()));
        verdicts = new CrashVerdicts(refused, counts.keySet());
    }
}
