package org.cowslipbank.bench.virtual;

/**
 * Probabilities of faults for each event on a link from an engine to a node.
 *
 * @param lost the event does not arrive
 * @param late the event arrives up to 3 s late
 * @param crossed the event arrives on the connection of another request
 * @param doubled the event arrives twice
 * @param broken the connection is lost
 * @param silent the connection stays open and carries nothing any more
 */
public record LinkFaults(double lost, double late, double crossed, double doubled, double broken, double silent) {
    /** No faults. */
    public static final LinkFaults NONE = new LinkFaults(0, 0, 0, 0, 0, 0);
}
