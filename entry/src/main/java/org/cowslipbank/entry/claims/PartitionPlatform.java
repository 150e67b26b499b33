package org.cowslipbank.entry.claims;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.cowslipbank.decision.claims.ClaimCodec;
import org.cowslipbank.decision.claims.PartitionHead;
import org.cowslipbank.decision.claims.PlatformCall;
import org.cowslipbank.decision.claims.PlatformReply;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Executes the platform calls of one claims partition at the key-value service. */
final class PartitionPlatform {
    private static final int CONCURRENT_CALLS = 32;
    // Log values and snapshots are written only once, so they always have the first version.
    private static final long FIRST_VERSION = 1;

    private final KeyValueStore store;
    private final int partition;

    PartitionPlatform(KeyValueStore store, int partition) {
        this.store = store;
        this.partition = partition;
    }

    Mono<PlatformReply> call(PlatformCall call) {
        return Mono.defer(() -> dispatch(call)).onErrorResume(error -> Mono.just(failedReply(error)));
    }

    static PlatformReply failedReply(Throwable error) {
        boolean notRun = error instanceof CowslipbankException known && known.runState() == RunState.NOT_RUN;
        return new PlatformReply.Failed(notRun);
    }

    private Mono<PlatformReply> dispatch(PlatformCall call) {
        if (call instanceof PlatformCall.ReadHead) {
            return store.get(ClaimCodec.headKey(partition)).map(PartitionPlatform::headReply);
        }
        if (call instanceof PlatformCall.ReadSegments read) {
            return readAll(read.keys(), ClaimCodec::readSegment).map(PlatformReply.SegmentsRead::new);
        }
        if (call instanceof PlatformCall.ListLog list) {
            String after = ClaimCodec.logKey(partition, list.fromSequence() - 1);
            return store.list(ClaimCodec.logPrefix(partition), after, list.limit())
                    .map(keys -> new PlatformReply.LogListed(
                            keys.stream().map(ClaimCodec::sequenceOf).toList()));
        }
        if (call instanceof PlatformCall.ReadLog read) {
            return readAll(logKeys(read.sequences()), ClaimCodec::readBatch).map(PlatformReply.LogRead::new);
        }
        if (call instanceof PlatformCall.Delete delete) {
            return delete(delete);
        }
        return write(call).map(PlatformReply.Written::new);
    }

    private Mono<Boolean> write(PlatformCall call) {
        if (call instanceof PlatformCall.CreateLog create) {
            return swap(ClaimCodec.logKey(partition, create.sequence()), KeyValueStore.ABSENT, create.batch());
        }
        if (call instanceof PlatformCall.CreateSegment create) {
            return swap(create.key(), KeyValueStore.ABSENT, create.value());
        }
        PlatformCall.SwapHead swap = (PlatformCall.SwapHead) call;
        return swap(ClaimCodec.headKey(partition), swap.version(), swap.head());
    }

    private Mono<Boolean> swap(String key, long version, Record value) {
        return store.compareAndSwap(key, version, ClaimCodec.write(value)).map(result -> result.swapped());
    }

    private Mono<PlatformReply> delete(PlatformCall.Delete delete) {
        return Flux.concat(Flux.fromIterable(logKeys(delete.sequences())), Flux.fromIterable(delete.segmentKeys()))
                .flatMap(key -> store.delete(key, FIRST_VERSION), CONCURRENT_CALLS)
                .then(Mono.just(new PlatformReply.Written(true)));
    }

    private List<String> logKeys(List<Long> sequences) {
        return sequences.stream()
                .map(sequence -> ClaimCodec.logKey(partition, sequence))
                .toList();
    }

    private <T> Mono<List<Optional<T>>> readAll(List<String> keys, Function<byte[], T> decode) {
        return Flux.fromIterable(keys)
                .flatMapSequential(store::get, CONCURRENT_CALLS)
                .map(value -> value.map(VersionedValue::value).map(decode))
                .collectList();
    }

    private static PlatformReply headReply(Optional<VersionedValue> value) {
        if (value.isEmpty()) {
            return new PlatformReply.HeadRead(KeyValueStore.ABSENT, PartitionHead.EMPTY);
        }
        return new PlatformReply.HeadRead(
                value.get().version(), ClaimCodec.readHead(value.get().value()));
    }
}
