package org.cowslipbank.bench.membership;

import java.util.SplittableRandom;

import org.cowslipbank.decision.membership.NodeAddress;

/** Decides which messages are lost. */
@FunctionalInterface
interface LossRule {
    /** Loses nothing. */
    LossRule NONE = (from, to, random) -> false;

    /**
     * Returns whether a message is lost.
     *
     * @param from the sender
     * @param to the receiver
     * @param random the simulation's random source
     * @return true if the message is lost
     */
    boolean loses(NodeAddress from, NodeAddress to, SplittableRandom random);

    /**
     * Returns a rule that loses a random share of all messages.
     *
     * @param share share of lost messages, from zero to one
     * @return the rule
     */
    static LossRule losingShare(double share) {
        return (from, to, random) -> random.nextDouble() < share;
    }
}
