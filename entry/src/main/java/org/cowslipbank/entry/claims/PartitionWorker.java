package org.cowslipbank.entry.claims;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.decision.claims.ClaimOutcome;
import org.cowslipbank.decision.claims.ClaimSettings;
import org.cowslipbank.decision.claims.ClaimTime;
import org.cowslipbank.decision.claims.PartitionEffect;
import org.cowslipbank.decision.claims.PartitionOwner;
import org.cowslipbank.decision.claims.PartitionRequest;
import org.cowslipbank.decision.claims.PlatformCall;
import org.cowslipbank.ports.KeyValueStore;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

/** Drives the state machine of one claims partition. All methods are called on the scheduler's single thread. */
final class PartitionWorker {
    private static final Logger LOG = LogManager.getLogger(PartitionWorker.class);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration BULK_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SEQUENCE_QUERY_TIMEOUT = Duration.ofMillis(400);

    private final int partition;
    private final PartitionOwner machine;
    private final PartitionPlatform platform;
    private final PeerSequenceQuery sequenceQuery;
    private final Scheduler scheduler;
    private final Supplier<ClaimTime> clock;
    private final Map<Long, MonoSink<ClaimOutcome>> pendingAnswers = new HashMap<>();
    private long lastRequestId;

    PartitionWorker(
            int partition,
            ClaimSettings settings,
            String batchIdPrefix,
            KeyValueStore store,
            PeerSequenceQuery sequenceQuery,
            Scheduler scheduler,
            Supplier<ClaimTime> clock) {
        this.partition = partition;
        this.machine = new PartitionOwner(partition, settings, batchIdPrefix);
        this.platform = new PartitionPlatform(store, partition);
        this.sequenceQuery = sequenceQuery;
        this.scheduler = scheduler;
        this.clock = clock;
    }

    void submit(PartitionRequest request, MonoSink<ClaimOutcome> sink) {
        long id = ++lastRequestId;
        pendingAnswers.put(id, sink);
        sink.onDispose(() -> scheduler.schedule(() -> {
            if (pendingAnswers.remove(id) != null) {
                machine.withdraw(id);
            }
        }));
        execute(machine.submit(id, request, clock.get()));
    }

    void tick(boolean owner) {
        execute(machine.setOwner(owner, clock.get()));
    }

    void onPause() {
        machine.onPause(clock.get());
    }

    boolean isIdle() {
        return pendingAnswers.isEmpty() && machine.isIdle();
    }

    long highestSequence() {
        return machine.highestSequence();
    }

    private void execute(List<PartitionEffect> effects) {
        for (PartitionEffect effect : effects) {
            if (effect instanceof PartitionEffect.Call call) {
                callPlatform(call.call());
            } else if (effect instanceof PartitionEffect.Answer answer) {
                deliverAnswer(answer);
            } else if (effect instanceof PartitionEffect.AskFleet ask) {
                queryPeers(ask.confirmedAgeMillis());
            }
        }
    }

    private void callPlatform(PlatformCall call) {
        platform.call(call)
                .timeout(isBulk(call) ? BULK_TIMEOUT : CALL_TIMEOUT, scheduler)
                .onErrorResume(error -> Mono.just(PartitionPlatform.failedReply(error)))
                .publishOn(scheduler)
                .subscribe(
                        reply -> execute(machine.onReply(reply, clock.get())),
                        error -> LOG.error(
                                "claims partition {}: cannot handle the reply to platform call {}",
                                partition,
                                call.getClass().getSimpleName(),
                                error));
    }

    private static boolean isBulk(PlatformCall call) {
        return call instanceof PlatformCall.ReadSegments
                || call instanceof PlatformCall.ReadLog
                || call instanceof PlatformCall.Delete;
    }

    private void deliverAnswer(PartitionEffect.Answer answer) {
        MonoSink<ClaimOutcome> sink = pendingAnswers.remove(answer.requestId());
        if (sink != null) {
            sink.success(answer.outcome());
        }
    }

    private void queryPeers(long confirmedAgeMillis) {
        sequenceQuery
                .highestSequence(partition, confirmedAgeMillis)
                .timeout(SEQUENCE_QUERY_TIMEOUT, scheduler)
                .onErrorReturn(OptionalLong.empty())
                .defaultIfEmpty(OptionalLong.empty())
                .publishOn(scheduler)
                .subscribe(highest -> execute(machine.onFleetAnswer(highest, clock.get())));
    }
}
