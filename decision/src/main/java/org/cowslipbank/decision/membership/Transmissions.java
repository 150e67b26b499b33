package org.cowslipbank.decision.membership;

/**
 * How often a queued fact has been sent.
 *
 * @param own times to nodes of the own data centre
 * @param across times to nodes of other data centres
 */
record Transmissions(int own, int across) {
    static final Transmissions NONE = new Transmissions(0, 0);

    Transmissions plusOwn() {
        return new Transmissions(own + 1, across);
    }

    Transmissions plusAcross() {
        return new Transmissions(own, across + 1);
    }

    int total() {
        return own + across;
    }
}
