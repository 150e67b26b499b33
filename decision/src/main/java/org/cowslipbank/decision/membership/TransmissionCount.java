package org.cowslipbank.decision.membership;

/**
 * How often a queued fact has been sent.
 *
 * @param urgent true if the fact must arrive within seconds
 * @param local number of times to nodes of the local data centre
 * @param remote number of times to nodes of other data centres
 */
record TransmissionCount(boolean urgent, int local, int remote) {
    static TransmissionCount none(boolean urgent) {
        return new TransmissionCount(urgent, 0, 0);
    }

    TransmissionCount plusLocal() {
        return new TransmissionCount(urgent, local + 1, remote);
    }

    TransmissionCount plusRemote() {
        return new TransmissionCount(urgent, local, remote + 1);
    }

    int total() {
        return local + remote;
    }
}
