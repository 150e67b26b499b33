package org.cowslipbank.entry.claims;

import java.util.OptionalLong;

import reactor.core.publisher.Mono;

/** Asks all other entry nodes of the region what they know of a partition; see {@link ClaimService#highestSequence}. */
@FunctionalInterface
public interface ClaimWitness {
    /**
     * Asks. The questions must be sent after subscription, and every entry node that the VM list names must answer.
     *
     * @param partition the partition
     * @param confirmedAgeMillis age of this node's last confirmation of the log's end, in milliseconds; a node that has
     *     not run for longer than this gives no answer
     * @return the highest sequence that any other node has seen or tried to write, empty unless all have answered
     */
    Mono<OptionalLong> highestSequence(int partition, long confirmedAgeMillis);
}
