package org.cowslipbank.entry.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ConfigurationChecks;
import org.cowslipbank.config.ConfigurationDifference;
import org.cowslipbank.decision.configuration.AuditRecord;
import org.cowslipbank.decision.configuration.ChangePlan;
import org.cowslipbank.decision.configuration.ConfigurationRoot;
import org.cowslipbank.decision.configuration.ConfigurationShards;
import org.cowslipbank.entry.configuration.ChangeOutcome.Kind;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Execution of one configuration change, from the first check to the outcome. Runs on the control thread. */
final class ChangeRun {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final Duration RESOLVE_RETRY_DELAY = Duration.ofMillis(200);
    private static final long RESOLVE_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_VALUE_BYTES = KeyValueStore.MAX_VALUE_BYTES;

    private record RootRead(long version, ConfigurationRoot root, byte[] bytes) {}

    private final ConfigurationService service;
    private final ChangeRequest request;
    private final ChangeWriter writer;
    private final DataCentreRevisions dataCentreRevisions;
    private final Scheduler scheduler;
    private final long stalenessBoundMillis;

    ChangeRun(
            ConfigurationService service,
            ChangeRequest request,
            ChangeWriter writer,
            DataCentreRevisions dataCentreRevisions,
            Scheduler scheduler,
            long stalenessBoundMillis) {
        this.service = service;
        this.request = request;
        this.writer = writer;
        this.dataCentreRevisions = dataCentreRevisions;
        this.scheduler = scheduler;
        this.stalenessBoundMillis = stalenessBoundMillis;
    }

    Mono<ChangeOutcome> run() {
        return Mono.defer(() -> readRoot().flatMap(this::checkRevision))
                .onErrorResume(error -> Mono.just(outcome(Kind.REFUSED, "the platform cannot be reached: " + error)));
    }

    private Mono<ChangeOutcome> checkRevision(RootRead read) {
        if (read.root().revision() != request.ifMatchRevision()) {
            return handleRevisionMismatch(read.root());
        }
        long readMillis = service.nowMillis();
        service.applyRootRead(read.root(), read.bytes(), readMillis);
        return waitUntil(() -> service.revision() >= read.root().revision(), stalenessBoundMillis)
                .flatMap(applied -> applied && service.revision() == read.root().revision()
                        ? planChange(read)
                        : Mono.just(outcome(Kind.REFUSED, "the shards in force cannot be read")));
    }

    private Mono<ChangeOutcome> planChange(RootRead read) {
        Configuration before = service.configuration();
        Configuration after;
        try {
            after = request.edit().apply(before);
            ConfigurationChecks.requireValid("change " + request.metadata().changeId(), before, after);
        } catch (ConfigurationException e) {
            return Mono.just(outcome(Kind.INVALID, e.getMessage()));
        }
        if (ConfigurationDifference.between(before, after).isEmpty()) {
            return Mono.just(outcome(Kind.UNCHANGED, "the configuration is as requested"));
        }
        Set<DataCentreId> configured = new HashSet<>(before.dataCentres());
        configured.addAll(after.dataCentres());
        List<String> unreported = dataCentreRevisions.dataCentresWithoutReport(
                configured, request.metadata().mayLag(), service.nowMillis());
        if (!unreported.isEmpty()) {
            return Mono.just(new ChangeOutcome(Kind.NOT_HEARD, read.root().revision(), unreported));
        }
        return writeChange(read, ChangePlan.of(read.root(), before, after, request.metadata()), configured);
    }

    private Mono<ChangeOutcome> writeChange(RootRead read, ChangePlan plan, Set<DataCentreId> configured) {
        byte[] rootBytes = ConfigurationShards.write(plan.root());
        boolean tooLarge = rootBytes.length > MAX_VALUE_BYTES
                || plan.newValues().values().stream().anyMatch(value -> value.length > MAX_VALUE_BYTES);
        if (tooLarge) {
            return Mono.just(outcome(Kind.INVALID, "a value would exceed " + MAX_VALUE_BYTES + " bytes"));
        }
        long deadlineMillis = service.nowMillis() + RESOLVE_TIMEOUT_MILLIS;
        return writer.createValues(plan.newValues())
                .then(Mono.defer(() -> swapRoot(read, plan, rootBytes, false, deadlineMillis)))
                .flatMap(done -> done.isPresent()
                        ? Mono.just(done.get())
                        : applyAndAwaitDataCentres(plan, rootBytes, configured));
    }

    // Returns empty if the change was made, otherwise the outcome to report.
    private Mono<Optional<ChangeOutcome>> swapRoot(
            RootRead read, ChangePlan plan, byte[] rootBytes, boolean uncertain, long deadlineMillis) {
        return writer.swap(ConfigurationShards.ROOT_KEY, read.version(), rootBytes)
                .flatMap(result -> switch (result) {
                    case SWAPPED -> Mono.just(Optional.<ChangeOutcome>empty());
                    case NOT_RUN -> uncertain
                            ? resolveSwap(read, plan, rootBytes, deadlineMillis)
                            : Mono.just(Optional.of(outcome(Kind.REFUSED, "the platform cannot be reached")));
                    case VERSION_MISMATCH, UNKNOWN -> resolveSwap(read, plan, rootBytes, deadlineMillis);
                });
    }

    // Reads the root to find out whether the swap took effect. While the root still has the expected version, a delayed
    // call may yet take effect; the same swap is then sent again, and at most one of the two can succeed.
    private Mono<Optional<ChangeOutcome>> resolveSwap(
            RootRead read, ChangePlan plan, byte[] rootBytes, long deadlineMillis) {
        if (service.nowMillis() > deadlineMillis) {
            return Mono.just(Optional.of(outcome(Kind.UNKNOWN, "repeat the change with the same identifier")));
        }
        return readRoot()
                .flatMap(now -> {
                    if (now.version() == read.version()) {
                        return swapRoot(read, plan, rootBytes, true, deadlineMillis);
                    }
                    return findRecord(now.root())
                            .map(found -> Optional.<ChangeOutcome>empty())
                            .switchIfEmpty(Mono.defer(() -> conflict(now.root()).map(Optional::of)));
                })
                .onErrorResume(error -> Mono.delay(RESOLVE_RETRY_DELAY, scheduler)
                        .then(Mono.defer(() -> resolveSwap(read, plan, rootBytes, deadlineMillis))));
    }

    private Mono<ChangeOutcome> applyAndAwaitDataCentres(
            ChangePlan plan, byte[] rootBytes, Set<DataCentreId> configured) {
        service.applyOwnChange(plan.root(), rootBytes, plan.newValues(), service.nowMillis());
        writer.scheduleDeletion(plan.replacedKeys());
        long revision = plan.root().revision();
        return waitUntil(() -> laggingDataCentres(configured, revision).isEmpty(), stalenessBoundMillis)
                .map(all -> {
                    List<String> lagging = laggingDataCentres(configured, revision);
                    return new ChangeOutcome(lagging.isEmpty() ? Kind.ACCEPTED : Kind.LAGGING, revision, lagging);
                });
    }

    private List<String> laggingDataCentres(Set<DataCentreId> configured, long revision) {
        return dataCentreRevisions.laggingDataCentres(
                configured, request.metadata().mayLag(), revision, service.nowMillis());
    }

    // A repeated request finds the audit record of the first one; any other request is a conflict.
    private Mono<ChangeOutcome> handleRevisionMismatch(ConfigurationRoot root) {
        return findRecord(root)
                .map(record -> ChangeOutcome.of(Kind.ACCEPTED, record.revision(), "the change was made before"))
                .switchIfEmpty(Mono.defer(() -> conflict(root)));
    }

    private Mono<AuditRecord> findRecord(ConfigurationRoot root) {
        return recordsSinceExpected(root)
                .flatMapIterable(records -> records)
                .filter(record -> record.changeId().equals(request.metadata().changeId()))
                .next();
    }

    private Mono<ChangeOutcome> conflict(ConfigurationRoot root) {
        return recordsSinceExpected(root).map(records -> {
            List<String> lines = new ArrayList<>();
            lines.add("revision " + request.ifMatchRevision() + " was expected, revision " + root.revision()
                    + " is in force");
            for (AuditRecord record : records) {
                record.difference()
                        .forEach(line -> lines.add(record.revision() + " by " + record.operator() + ": " + line));
                int more = record.differenceLines() - record.difference().size();
                if (more > 0) {
                    lines.add(record.revision() + " by " + record.operator() + ": and " + more + " more");
                }
            }
            return new ChangeOutcome(Kind.CONFLICT, root.revision(), lines);
        });
    }

    // The audit records of all changes after the expected revision, newest first.
    private Mono<List<AuditRecord>> recordsSinceExpected(ConfigurationRoot root) {
        List<AuditRecord> latest = new ArrayList<>(root.audit());
        Collections.reverse(latest);
        return Flux.concat(Flux.fromIterable(latest), service.olderAudit(root.auditKey()))
                .takeWhile(record -> record.revision() > request.ifMatchRevision())
                .collectList()
                .publishOn(scheduler);
    }

    private Mono<RootRead> readRoot() {
        return writer.read(ConfigurationShards.ROOT_KEY).map(value -> {
            if (value.isEmpty()) {
                return new RootRead(
                        KeyValueStore.ABSENT,
                        ConfigurationRoot.EMPTY,
                        ConfigurationShards.write(ConfigurationRoot.EMPTY));
            }
            VersionedValue present = value.get();
            return new RootRead(present.version(), ConfigurationShards.readRoot(present.value()), present.value());
        });
    }

    private Mono<Boolean> waitUntil(BooleanSupplier condition, long withinMillis) {
        long deadlineMillis = service.nowMillis() + withinMillis;
        return Mono.defer(() -> poll(condition, deadlineMillis));
    }

    private Mono<Boolean> poll(BooleanSupplier condition, long deadlineMillis) {
        if (condition.getAsBoolean() || service.nowMillis() >= deadlineMillis) {
            return Mono.just(condition.getAsBoolean());
        }
        return Mono.delay(POLL_INTERVAL, scheduler).then(Mono.defer(() -> poll(condition, deadlineMillis)));
    }

    private ChangeOutcome outcome(Kind kind, String message) {
        return ChangeOutcome.of(kind, Math.max(0, service.revision()), message);
    }
}
