package org.cowslipbank.entry.relay;

import java.util.Map;
import java.util.Optional;

import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.publisher.Mono;

/** A fake metadata store that answers no call but those that read. */
abstract class ReadOnlyMetadataStore implements MetadataStore {
    @Override
    public Mono<Optional<Long>> writeIf(Write write, Map<String, Long> expectedRevisions) {
        return Mono.never();
    }

    @Override
    public Mono<Optional<Long>> write(Write write) {
        return Mono.never();
    }

    @Override
    public Mono<Boolean> removeIf(String key, long expectedRevision) {
        return Mono.never();
    }

    @Override
    public Mono<Lease> grantLease(long ttlMillis) {
        return Mono.never();
    }

    @Override
    public Mono<Optional<Long>> renewLease(long lease) {
        return Mono.never();
    }

    @Override
    public Mono<Void> endLease(long lease) {
        return Mono.never();
    }
}
