package org.cowslipbank.entry.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.decision.relay.SoftwareVersions;
import org.cowslipbank.decision.relay.SoftwareVersions.Version;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.ports.relay.MetadataStore;

/**
 * Keeps a record of each software version at which streams may have begun in the metadata store, see
 * {@link SoftwareVersions}. Every node writes a record that is missing or has to be rewritten, because it may not send to the
 * version before; the leader removes those that are no longer needed. Confined to the control thread.
 */
final class SoftwareVersionRecorder {
    /** Delay per node before it in the order of names, so that usually one node writes and the others read the record. */
    static final long DELAY_MILLIS_PER_NODE = 5;

    /** Shortest pause after a write that failed; the version's upstreams get no streams until it succeeds. */
    static final long RETRY_MILLIS = 100;

    /** Interval at which the leader removes records, and marks the era of a store that was restored. */
    static final long LEADER_CHECK_MILLIS = 1_000;

    private final ControlContext context;
    private final PlatformState state;
    private final SoftwareVersions versions;
    private final BooleanSupplier isLeader;
    private final Supplier<Optional<ConfigurationConfirmation>> confirmation;
    private final Set<Version> writing = new HashSet<>();
    private boolean scheduled;

    SoftwareVersionRecorder(
            ControlContext context,
            PlatformState state,
            SoftwareVersions versions,
            BooleanSupplier isLeader,
            Supplier<Optional<ConfigurationConfirmation>> confirmation) {
        this.context = context;
        this.state = state;
        this.versions = versions;
        this.isLeader = isLeader;
        this.confirmation = confirmation;
    }

    void start() {
        context.control()
                .schedulePeriodically(
                        new GuardedTask("records of software versions", this::lead, context.log()),
                        LEADER_CHECK_MILLIS,
                        LEADER_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Called when upstreams or records have changed. */
    void onView() {
        if (!unrecorded().isEmpty()) {
            schedule(delayMillis());
        }
    }

    private long delayMillis() {
        List<String> names = new ArrayList<>(context.view().get().nodes().keySet());
        Collections.sort(names);
        int index = names.indexOf(context.self().name());
        return DELAY_MILLIS_PER_NODE * (index < 0 ? names.size() : index);
    }

    private void schedule(long millis) {
        if (scheduled) {
            return;
        }
        scheduled = true;
        context.control()
                .schedule(
                        new GuardedTask("records of software versions", this::writeMissing, context.log()),
                        millis,
                        TimeUnit.MILLISECONDS);
    }

    private void writeMissing() {
        scheduled = false;
        unrecorded().forEach(this::write);
    }

    private List<Version> unrecorded() {
        return versions.unrecorded(context.clocks().nowMillis());
    }

    private void write(Version version) {
        if (!writing.add(version)) {
            return;
        }
        String key = context.items().softwareKey(version);
        MetadataStore.Write write = new MetadataStore.Write(key, NodeItems.encodeSoftware(version), 0);
        long expectedRevision = versions.recordRevision(version).orElse(MetadataStore.ABSENT);
        context.store()
                .writeIf(write, Map.of(key, expectedRevision))
                .publishOn(context.control())
                .doFinally(signal -> writing.remove(version))
                .subscribe(revision -> onAnswer(version, expectedRevision, revision), error -> {
                    context.log()
                            .logState(LogFields.event("software version not recorded; no stream begins there")
                                    .field("service", version.service())
                                    .field("softwareVersion", version.softwareVersion())
                                    .error(error));
                    schedule(RETRY_MILLIS + delayMillis());
                });
    }

    private void onAnswer(Version version, long expectedRevision, Optional<Long> revision) {
        long nowMillis = context.clocks().nowMillis();
        if (revision.isPresent()) {
            versions.onRecorded(version, revision.get(), nowMillis);
        } else if (expectedRevision == MetadataStore.ABSENT) {
            versions.onRecordedByAnother(version, nowMillis);
        } else {
            // Another node has rewritten or removed the record; the watch tells which, and the next turn acts on it.
            schedule(RETRY_MILLIS + delayMillis());
            return;
        }
        context.log()
                .logState(LogFields.event("software version recorded")
                        .field("service", version.service())
                        .field("softwareVersion", version.softwareVersion())
                        .field("expectedRevision", expectedRevision)
                        .field("storeRevision", revision.orElse(0L)));
    }

    private boolean isViewRecent() {
        LeaderLease.ClockReading now = context.clocks().now();
        return confirmation
                .get()
                .filter(known -> SoftwareVersions.isRecent(known.ageMillis(now.monotonicMillis(), now.wallMillis())))
                .isPresent();
    }

    /** Removes records that are no longer needed and marks the era, if this node leads and knows the newest state. */
    void lead() {
        // The lease is renewed by other calls than those that tell the registrations, which may be long out of date.
        if (!isLeader.getAsBoolean() || !isViewRecent()) {
            return;
        }
        long nowMillis = context.clocks().nowMillis();
        if (!state.isSettled(nowMillis)) {
            return;
        }
        state.expiredSoftwareRecords(nowMillis).forEach(this::remove);
        OptionalLong era = state.streamsEraToMark(nowMillis);
        if (era.isPresent() && unrecorded().isEmpty()) {
            mark(era.getAsLong());
        }
    }

    private void remove(PlatformState.SoftwareRecord expired) {
        context.store()
                .removeIf(expired.key(), expired.revision())
                .subscribe(
                        removed -> context.log()
                                .logState(LogFields.event("record of software version removed")
                                        .field("service", expired.version().service())
                                        .field(
                                                "softwareVersion",
                                                expired.version().softwareVersion())
                                        .field("removed", removed)),
                        error -> context.log()
                                .logState(LogFields.event(
                                                "record of software version not removed; the next turn" + " repeats it")
                                        .error(error)));
    }

    private void mark(long era) {
        context.store()
                .write(new MetadataStore.Write(context.items().completeStreamsEraKey(), NodeItems.encodeEra(era), 0))
                .subscribe(revision -> {}, error -> context.log()
                        .logState(LogFields.event("era of stream origins not marked; the next turn repeats it")
                                .error(error)));
    }
}
