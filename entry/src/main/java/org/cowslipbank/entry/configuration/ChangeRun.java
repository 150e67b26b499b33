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
import org.cowslipbank.decision.configuration.ConfigurationShards;
import org.cowslipbank.decision.configuration.RootValue;
import org.cowslipbank.entry.configuration.ChangeOutcome.Kind;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** One change, from the checks to the answer. Runs on the control thread. */
final class ChangeRun {
    private static final Duration POLL = Duration.ofMillis(50);
    private static final Duration RESOLVE_DELAY = Duration.ofMillis(200);
    private static final long RESOLVE_MILLIS = 10_000;
    private static final int MAX_VALUE_BYTES = KeyValueStore.MAX_VALUE_BYTES;

    private record Read(long version, RootValue root, byte[] bytes) {}

    private final ConfigurationService service;
    private final ChangeRequest request;
    private final ChangeWriter writer;
    private final DataCentres dataCentres;
    private final Scheduler scheduler;
    private final long boundMillis;

    ChangeRun(
            ConfigurationService service,
            ChangeRequest request,
            ChangeWriter writer,
            DataCentres dataCentres,
            Scheduler scheduler,
            long boundMillis) {
        this.service = service;
        this.request = request;
        this.writer = writer;
        this.dataCentres = dataCentres;
        this.scheduler = scheduler;
        this.boundMillis = boundMillis;
    }

    Mono<ChangeOutcome> run() {
        return Mono.defer(() -> readRoot().flatMap(this::start))
                .onErrorResume(error -> Mono.just(outcome(Kind.REFUSED, "the platform cannot be reached: " + error)));
    }

    private Mono<ChangeOutcome> start(Read read) {
        if (read.root().revision() != request.ifMatchRevision()) {
            return otherRevision(read.root());
        }
        long readMillis = service.nowMillis();
        service.applyRead(read.root(), read.bytes(), readMillis);
        return until(() -> service.revision() >= read.root().revision(), boundMillis)
                .flatMap(applied -> applied && service.revision() == read.root().revision()
                        ? plan(read)
                        : Mono.just(outcome(Kind.REFUSED, "the shards in force cannot be read")));
    }

    private Mono<ChangeOutcome> plan(Read read) {
        Configuration before = service.configuration();
        Configuration after;
        try {
            after = request.edit().apply(before);
            ConfigurationChecks.require("change " + request.order().changeId(), before, after);
        } catch (ConfigurationException e) {
            return Mono.just(outcome(Kind.INVALID, e.getMessage()));
        }
        if (ConfigurationDifference.between(before, after).isEmpty()) {
            return Mono.just(outcome(Kind.UNCHANGED, "the configuration is as requested"));
        }
        Set<DataCentreId> named = new HashSet<>(before.dataCentres());
        named.addAll(after.dataCentres());
        List<String> notHeard = dataCentres.notHeard(named, request.order().mayLag(), service.nowMillis());
        if (!notHeard.isEmpty()) {
            return Mono.just(new ChangeOutcome(Kind.NOT_HEARD, read.root().revision(), notHeard));
        }
        return write(read, ChangePlan.of(read.root(), before, after, request.order()), named);
    }

    private Mono<ChangeOutcome> write(Read read, ChangePlan plan, Set<DataCentreId> named) {
        byte[] rootBytes = ConfigurationShards.write(plan.root());
        boolean tooLarge = rootBytes.length > MAX_VALUE_BYTES
                || plan.newValues().values().stream().anyMatch(value -> value.length > MAX_VALUE_BYTES);
        if (tooLarge) {
            return Mono.just(outcome(Kind.INVALID, "a value would exceed " + MAX_VALUE_BYTES + " bytes"));
        }
        long deadlineMillis = service.nowMillis() + RESOLVE_MILLIS;
        return writer.create(plan.newValues())
                .then(Mono.defer(() -> swap(read, plan, rootBytes, false, deadlineMillis)))
                .flatMap(done -> done.isPresent() ? Mono.just(done.get()) : made(plan, rootBytes, named));
    }

    // Returns empty once the change is made, else the outcome.
    private Mono<Optional<ChangeOutcome>> swap(
            Read read, ChangePlan plan, byte[] rootBytes, boolean uncertain, long deadlineMillis) {
        return writer.swap(ConfigurationShards.ROOT_KEY, read.version(), rootBytes)
                .flatMap(result -> switch (result) {
                    case DONE -> Mono.just(Optional.<ChangeOutcome>empty());
                    case NEVER_SENT -> uncertain
                            ? resolve(read, plan, rootBytes, deadlineMillis)
                            : Mono.just(Optional.of(outcome(Kind.REFUSED, "the platform cannot be reached")));
                    case NOT_DONE, UNKNOWN -> resolve(read, plan, rootBytes, deadlineMillis);
                });
    }

    // Reads back whether the swap took effect. While the root's version is the expected one, a delayed call may still
    // take effect; the same swap is then made again, and at most one of the two can succeed.
    private Mono<Optional<ChangeOutcome>> resolve(Read read, ChangePlan plan, byte[] rootBytes, long deadlineMillis) {
        if (service.nowMillis() > deadlineMillis) {
            return Mono.just(Optional.of(outcome(Kind.UNKNOWN, "repeat the change with the same identifier")));
        }
        return readRoot()
                .flatMap(now -> {
                    if (now.version() == read.version()) {
                        return swap(read, plan, rootBytes, true, deadlineMillis);
                    }
                    return recordOf(now.root())
                            .map(found -> Optional.<ChangeOutcome>empty())
                            .switchIfEmpty(Mono.defer(() -> conflict(now.root()).map(Optional::of)));
                })
                .onErrorResume(error -> Mono.delay(RESOLVE_DELAY, scheduler)
                        .then(Mono.defer(() -> resolve(read, plan, rootBytes, deadlineMillis))));
    }

    private Mono<ChangeOutcome> made(ChangePlan plan, byte[] rootBytes, Set<DataCentreId> named) {
        service.applyOwn(plan.root(), rootBytes, plan.newValues(), service.nowMillis());
        writer.deleteLater(plan.replacedKeys());
        long revision = plan.root().revision();
        return until(() -> behind(named, revision).isEmpty(), boundMillis).map(all -> {
            List<String> behind = behind(named, revision);
            return new ChangeOutcome(behind.isEmpty() ? Kind.ACCEPTED : Kind.LAGGING, revision, behind);
        });
    }

    private List<String> behind(Set<DataCentreId> named, long revision) {
        return dataCentres.behind(named, request.order().mayLag(), revision, service.nowMillis());
    }

    // A repeated request finds the record of the first one.
    private Mono<ChangeOutcome> otherRevision(RootValue root) {
        return recordOf(root)
                .map(record -> ChangeOutcome.of(Kind.ACCEPTED, record.revision(), "the change was made before"))
                .switchIfEmpty(Mono.defer(() -> conflict(root)));
    }

    private Mono<AuditRecord> recordOf(RootValue root) {
        return since(root)
                .flatMapIterable(records -> records)
                .filter(record -> record.changeId().equals(request.order().changeId()))
                .next();
    }

    private Mono<ChangeOutcome> conflict(RootValue root) {
        return since(root).map(records -> {
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

    // The records of all changes after the operator's revision, newest first.
    private Mono<List<AuditRecord>> since(RootValue root) {
        List<AuditRecord> latest = new ArrayList<>(root.audit());
        Collections.reverse(latest);
        return Flux.concat(Flux.fromIterable(latest), service.olderAudit(root.auditKey()))
                .takeWhile(record -> record.revision() > request.ifMatchRevision())
                .collectList()
                .publishOn(scheduler);
    }

    private Mono<Read> readRoot() {
        return writer.read(ConfigurationShards.ROOT_KEY).map(value -> {
            if (value.isEmpty()) {
                return new Read(KeyValueStore.ABSENT, RootValue.EMPTY, ConfigurationShards.write(RootValue.EMPTY));
            }
            VersionedValue present = value.get();
            return new Read(present.version(), ConfigurationShards.readRoot(present.value()), present.value());
        });
    }

    private Mono<Boolean> until(BooleanSupplier condition, long withinMillis) {
        long deadlineMillis = service.nowMillis() + withinMillis;
        return Mono.defer(() -> poll(condition, deadlineMillis));
    }

    private Mono<Boolean> poll(BooleanSupplier condition, long deadlineMillis) {
        if (condition.getAsBoolean() || service.nowMillis() >= deadlineMillis) {
            return Mono.just(condition.getAsBoolean());
        }
        return Mono.delay(POLL, scheduler).then(Mono.defer(() -> poll(condition, deadlineMillis)));
    }

    private ChangeOutcome outcome(Kind kind, String message) {
        return ChangeOutcome.of(kind, Math.max(0, service.revision()), message);
    }
}
