package org.cowslipbank.decision.membership;

/**
 * How often a queued fact has been sent.
 *
 * @param urgent true if the fact must arrive within seconds
 * @param own times to nodes of the own data centre
 * @param across times to nodes of other data centres
 */
record Transmissions(boolean urgent, int own, int across) {
    static Transmissions none(boolean urgent) {
        return new Transmissions(urgent, 0, 0);
    }

    Transmissions plusOwn() {
        return new Transmissions(urgent, own + 1, across);
    }

    Transmissions plusAcross() {
        return new Transmissions(urgent, own, across + 1);
    }

    int total() {
        return own + across;
    }
}
