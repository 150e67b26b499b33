package org.cowslipbank.entry.claims;

import java.util.OptionalLong;

import reactor.core.publisher.Mono;

/** Queries all other entry nodes of the region for their highest {@link ClaimService#highestSequence sequence}. */
@FunctionalInterface
public interface PeerSequenceQuery {
    /**
     * Queries the log's highest sequence. An implementation sends the queries only on subscription, and to every entry
     * node in the VM list.
     *
     * @param partition number of the claims partition
     * @param confirmedAgeMillis time since this node last confirmed the log's end, in milliseconds; nodes with a
     *     shorter uptime give no usable answer
     * @return the highest sequence that any other node has seen or tried to write; empty unless all nodes have answered
     */
    Mono<OptionalLong> highestSequence(int partition, long confirmedAgeMillis);
}
