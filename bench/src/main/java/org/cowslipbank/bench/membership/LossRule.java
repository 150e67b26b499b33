package org.cowslipbank.bench.membership;

import java.util.SplittableRandom;

import org.cowslipbank.decision.membership.NodeAddress;

/** Says which messages are lost. */
@FunctionalInterface
interface LossRule {
    /** Loses nothing. */
    LossRule NONE = (from, to, random) -> false;

    /**
     * Decides about one message.
     *
     * @param from the sender
     * @param to the receiver
     * @param random the simulation's random source
     * @return true if the message is lost
     */
    boolean loses(NodeAddress from, NodeAddress to, SplittableRandom random);

    /**
     * Loses a share of all messages.
     *
     * @param share the share, from zero to one
     * @return the rule
     */
    static LossRule share(double share) {
        return (from, to, random) -> random.nextDouble() < share;
    }
}
