package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The software version to which a request was sent, as the reports of nodes say. A request that moves to another version before
 * its first event is reported again, so the last report of a node counts. Which of two nodes sent the request last is not
 * known, nor is it if a report was stored before an earlier one of the same node; then there is no version that can be relied
 * on.
 *
 * @param newest the last report of each node
 * @param contradictory true if reports have named several versions, and which of them is the last one was not certain
 */
record ReportedVersion(List<Statement> newest, boolean contradictory) {
    /** Without any report. */
    static final ReportedVersion NONE = new ReportedVersion(List.of(), false);

    /**
     * What a report says.
     *
     * @param source the report's node and order
     * @param softwareVersion the version
     */
    record Statement(ReportSource source, String softwareVersion) {}

    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    ReportedVersion {
        newest = List.copyOf(newest);
    }

    /**
     * Adds a report.
     *
     * @param source the report's node and order
     * @param softwareVersion the version that it names
     * @return this one if the report tells nothing new
     */
    ReportedVersion with(ReportSource source, String softwareVersion) {
        Statement next = new Statement(source, softwareVersion);
        List<Statement> all = new ArrayList<>();
        boolean contradicts = contradictory;
        for (Statement known : newest) {
            if (known.source().node().equals(source.node())) {
                contradicts |= !isOrdered(known, next);
                next = newerOf(known, next);
            } else {
                all.add(known);
            }
        }
        for (Statement other : all) {
            contradicts |= !other.softwareVersion().equals(next.softwareVersion());
        }
        if (newest.contains(next) && contradicts == contradictory) {
            return this;
        }
        all.add(next);
        return new ReportedVersion(all, contradicts);
    }

    /**
     * Adds that a report contradicts the others.
     *
     * @return this one if that is known
     */
    ReportedVersion contradicted() {
        return contradictory ? this : new ReportedVersion(newest, true);
    }

    private static boolean isOrdered(Statement known, Statement next) {
        return known.softwareVersion().equals(next.softwareVersion())
                || next.source().isAfter(known.source())
                || known.source().isAfter(next.source());
    }

    private static Statement newerOf(Statement known, Statement next) {
        if (known.softwareVersion().equals(next.softwareVersion())) {
            return new Statement(known.source().latestWith(next.source()), known.softwareVersion());
        }
        return next.source().isAfter(known.source()) ? next : known;
    }

    /**
     * Returns the version to which the request was sent last.
     *
     * @return the version, {@link StreamOrigins#UNKNOWN_VERSION} if the reports contradict each other, empty without reports
     */
    Optional<String> softwareVersion() {
        return contradictory
                ? Optional.of(StreamOrigins.UNKNOWN_VERSION)
                : newest.stream().map(Statement::softwareVersion).findFirst();
    }

    /**
     * Returns whether a node reports that it doubts the version, because the request's server had started again.
     *
     * @return true if the last report of a node names no known version
     */
    boolean isDoubted() {
        return newest.stream().anyMatch(known -> StreamOrigins.isUnknown(known.softwareVersion()));
    }

    /**
     * Returns the store's revision of the last report, for the log.
     *
     * @return the revision, zero without reports
     */
    long revision() {
        return newest.stream()
                .mapToLong(known -> known.source().revision())
                .max()
                .orElse(0);
    }
}
