package org.cowslipbank.decision.relay;

/**
 * Whose report on stream origins it is, and which one. The store may carry out a node's writes in another order, and a node
 * that starts again begins to count anew, so a report is later than another one only by both its number and its revision.
 *
 * @param node name of the node
 * @param number the node's number of the report
 * @param revision the store's revision of the report
 */
public record ReportSource(String node, long number, long revision) {
    /**
     * Returns whether this report is later than another one of the same node.
     *
     * @param other the other report
     * @return true if it was both sent and stored later
     */
    boolean isAfter(ReportSource other) {
        return number > other.number && revision > other.revision;
    }

    /**
     * Returns the order of the last of two reports that say the same.
     *
     * @param other the other report of the same node
     * @return the higher number and the higher revision
     */
    ReportSource latestWith(ReportSource other) {
        return new ReportSource(node, Math.max(number, other.number), Math.max(revision, other.revision));
    }
}
