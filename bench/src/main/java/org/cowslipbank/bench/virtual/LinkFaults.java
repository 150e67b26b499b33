package org.cowslipbank.bench.virtual;

/**
 * Probabilities, from 0 to 1, with which each event on a link from an engine to a node meets a fault.
 *
 * @param lost the event is dropped
 * @param late the event is delayed by up to 3 s
 * @param misrouted the event is delivered to the stream of another request
 * @param duplicated the event is delivered twice
 * @param broken the connection breaks
 * @param silent the connection stays open but delivers nothing from then on
 */
public record LinkFaults(double lost, double late, double misrouted, double duplicated, double broken, double silent) {
    /** No faults. */
    public static final LinkFaults NONE = new LinkFaults(0, 0, 0, 0, 0, 0);
}
