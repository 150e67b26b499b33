package org.cowslipbank.decision.trace.invariant;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.decision.trace.TraceCodec;
import org.cowslipbank.decision.trace.TraceRecord;

/** Registry of the invariants over the events of a trace. */
public final class Invariants {
    private static final List<Invariant> ALL = List.of(
            new Invariant("run_at_most_once", RequestRules::runAtMostOnce),
            new Invariant("answered_once", RequestRules::answeredOnce),
            new Invariant("not_run_is_true", RequestRules::notRunIsTrue),
            new Invariant("no_cross_team_block", BlockRules::noCrossTeamBlock),
            new Invariant("no_foreign_weight_version", BlockRules::noForeignWeightVersion),
            new Invariant("no_freed_or_partial_block", BlockRules::noFreedOrPartialBlock),
            new Invariant("revision_never_falls", FleetRules::revisionNeverFalls),
            new Invariant("nothing_new_to_leaving_upstream", FleetRules::nothingNewToLeavingUpstream));

    private Invariants() {}

    /**
     * Returns the names of the invariants.
     *
     * @return the names
     */
    public static List<String> names() {
        return ALL.stream().map(Invariant::name).toList();
    }

    /**
     * Checks the events of a trace against all invariants; other lines are skipped.
     *
     * @param trace the records in order
     * @return every violation; empty if all invariants hold
     * @throws IOException if an event cannot be read
     */
    public static List<InvariantViolation> check(List<TraceRecord> trace) throws IOException {
        List<TimedEvent> events = new ArrayList<>();
        for (TraceRecord line : trace) {
            if (line.kind().equals(TraceRecord.EVENT)) {
                events.add(new TimedEvent(
                        line.sequence(), line.timeMillis(), TraceCodec.readInput(line, TraceEvent.class)));
            }
        }
        return ALL.stream().flatMap(rule -> rule.check(events).stream()).toList();
    }
}
