package org.cowslipbank.entry.relay;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;

import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.UpstreamReachability;
import org.cowslipbank.decision.suspects.CrashCauses;
import org.cowslipbank.decision.suspects.CrashCauses.Suspect;
import org.cowslipbank.decision.suspects.CrashEvidence;
import org.cowslipbank.decision.suspects.CrashVerdicts;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.MetadataStore;

/**
 * Reports to all nodes, through the metadata store, what an upstream was running when its connections broke, and which
 * suspects were in answers that went on well. A node writes one item for each crash and one for all sound suspects, so
 * that nothing is left out however many requests a crash breaks. The items are attached to a lease and expire with it.
 * State is confined to the control thread.
 */
final class CrashReports {
    /** Delay after a break; the connections that break for one reason do so within this time. */
    static final long CLASSIFY_DELAY_MILLIS = 60;

    /** Delay after the first break for breaks of requests that were sent later, so that one crash causes few writes. */
    static final long SENT_LATER_DELAY_MILLIS = 10;

    /**
     * Longest delay of a report on sound suspects. The delays of nodes differ, so that the first report spares the others
     * theirs.
     */
    static final int MAX_SOUND_DELAY_MILLIS = 500;

    /** Time for which the requests that break at an upstream are reported together, as one crash. */
    static final long CRASH_SPAN_MILLIS = 5_000;

    /** Time within which connections to several upstreams break if they have the same cause. */
    static final long OWN_FAULT_WINDOW_MILLIS = 100;

    /** Delay before a failed write is repeated. */
    static final long RETRY_DELAY_MILLIS = 1_000;

    /**
     * Number of upstreams from which on connections that break within this window, idle ones too, are rather due to this
     * node's own network or to a pause of its VM. Then only suspects that were in progress at all of these upstreams are
     * reported, and as one crash: popular prompt parts are in progress everywhere. Requests that were sent after the first
     * break do not count, so that one which crashes upstream after upstream is not taken for a fault of the network.
     */
    static final int OWN_FAULT_UPSTREAMS = 3;

    /** Age up to which reports are written again after a restore of the store, whose copy is some seconds old. */
    static final long WRITE_AGAIN_MILLIS = 60_000;

    /** Limit on crashes that wait to be reported; further ones are dropped while the metadata store is unreachable. */
    static final int MAX_PENDING = 64;

    private final ControlContext context;
    private final UpstreamReachability reachability;
    /** Upstreams whose connections broke lately, by address; without suspects where only idle ones did. */
    private final Map<String, Broken> recentlyBroken = new HashMap<>();

    /** Suspects of breaks that may be due to this node, by incarnation. */
    private final Map<String, Set<Suspect>> unclassified = new HashMap<>();

    /** The same for requests that were sent after the first of these breaks. */
    private final Map<String, Set<Suspect>> sentLater = new HashMap<>();

    /** Suspects that are to be reported, by incarnation. */
    private final Map<String, Set<Suspect>> pending = new HashMap<>();

    /**
     * Incarnation whose crash stands for the present fault of this node. A node without processor time classifies the
     * breaks of one fault in several parts, which would otherwise count as several crashes.
     */
    private Optional<String> ownFaultIncarnation = Optional.empty();

    private final Map<String, Broken> reported = new HashMap<>();
    private final Map<String, WrittenReport> written = new HashMap<>();
    private final Map<String, Long> sound = new HashMap<>();
    /** What was told under the present lease; told again with each write, for nodes that start later. */
    private final Map<String, Long> toldSound = new HashMap<>();

    /** Number of probes sent by this node that still has to be told, and that was told under the present lease. */
    private final Map<String, Long> untoldProbes = new HashMap<>();

    private final Map<String, Long> toldProbes = new HashMap<>();

    private final long soundDelayMillis;
    private final Consumer<Map<String, Long>> ownEvidence;
    private boolean soundScheduled;
    private final ReportLease lease;

    /** Requests at one upstream whose answers broke off since a moment. */
    private record Broken(long firstMillis, Set<Suspect> suspects) {}

    /** A report in the store. */
    private record WrittenReport(byte[] value, long writtenMillis) {}

    /**
     * Creates the reports of a node.
     *
     * @param context the control thread's shared state
     * @param reachability tells whether breaks are due to this node's links
     * @param ownEvidence receives for each suspect of a sound answer of this node the store's revision that was known then;
     *     called on the control thread
     */
    CrashReports(ControlContext context, UpstreamReachability reachability, Consumer<Map<String, Long>> ownEvidence) {
        this.context = context;
        this.reachability = reachability;
        this.ownEvidence = ownEvidence;
        this.lease = new ReportLease(context, CrashEvidence.REPORT_TTL_MILLIS);
        this.soundDelayMillis =
                Math.floorMod(FleetLoads.shortHash(context.self().name()), MAX_SOUND_DELAY_MILLIS);
    }

    /**
     * Records that an idle connection was reset: with others it shows a fault of this node's network. May be called by any
     * thread.
     *
     * @param address the upstream as {@code IP:port}
     */
    void onIdleReset(String address) {
        long brokenMillis = context.clocks().nowMillis();
        context.control().schedule(() -> {
            forgetBreaksBefore(brokenMillis - OWN_FAULT_WINDOW_MILLIS);
            recordBreak(address, Set.of(), brokenMillis);
        });
    }

    private void recordBreak(String address, Set<Suspect> suspects, long brokenMillis) {
        recentlyBroken
                .computeIfAbsent(address, key -> new Broken(brokenMillis, new HashSet<>()))
                .suspects()
                .addAll(suspects);
    }

    private void forgetBreaksBefore(long millis) {
        recentlyBroken.values().removeIf(broken -> broken.firstMillis() < millis);
        if (!isOwnFault()) {
            ownFaultIncarnation = Optional.empty();
        }
    }

    /**
     * Reports a request whose answer broke off. May be called by any thread.
     *
     * @param server the upstream
     * @param suspects what the request consists of
     * @param sentMillis when the request was sent
     */
    void reportBroken(UpstreamServer server, Set<Suspect> suspects, long sentMillis) {
        long brokenMillis = context.clocks().nowMillis();
        context.control().schedule(() -> addBroken(server, suspects, sentMillis, brokenMillis));
    }

    private void addBroken(UpstreamServer server, Set<Suspect> suspects, long sentMillis, long brokenMillis) {
        String incarnation = server.incarnation();
        forgetBreaksBefore(brokenMillis - OWN_FAULT_WINDOW_MILLIS);
        boolean waiting = unclassified.containsKey(incarnation) || pending.containsKey(incarnation);
        if (!waiting && unclassified.size() + pending.size() >= MAX_PENDING) {
            context.log()
                    .logState(LogFields.event("crash report dropped")
                            .field("incarnation", incarnation)
                            .field("pending", pending.size()));
            return;
        }
        OptionalLong firstBreakMillis =
                recentlyBroken.values().stream().mapToLong(Broken::firstMillis).min();
        if (firstBreakMillis.isPresent() && firstBreakMillis.getAsLong() <= sentMillis) {
            addTo(sentLater, incarnation, suspects);
            long delayMillis = firstBreakMillis.getAsLong() + SENT_LATER_DELAY_MILLIS - brokenMillis;
            context.control().schedule(this::classifySentLater, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
            return;
        }
        recordBreak(server.address(), suspects, brokenMillis);
        addTo(unclassified, incarnation, suspects);
        context.control().schedule(this::classify, CLASSIFY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void addTo(Map<String, Set<Suspect>> byIncarnation, String incarnation, Set<Suspect> suspects) {
        byIncarnation.computeIfAbsent(incarnation, key -> new HashSet<>()).addAll(suspects);
    }

    private boolean isOwnFault() {
        return recentlyBroken.size() >= OWN_FAULT_UPSTREAMS;
    }

    private void classifySentLater() {
        if (!isOwnFault()) {
            sentLater.forEach((incarnation, suspects) -> addTo(pending, incarnation, suspects));
        }
        sentLater.clear();
        writePending();
    }

    private void classify() {
        if (unclassified.isEmpty()) {
            return;
        }
        if (!isOwnFault()) {
            unclassified.forEach((incarnation, suspects) -> addTo(pending, incarnation, suspects));
        } else {
            Set<Suspect> common = CrashCauses.inAll(
                    recentlyBroken.values().stream().map(Broken::suspects).toList());
            context.log()
                    .logState(LogFields.event("connections to many upstreams broke at once")
                            .field("upstreams", recentlyBroken.keySet())
                            .field("commonSuspects", common.size()));
            if (ownFaultIncarnation.isEmpty()) {
                ownFaultIncarnation = Optional.of(Collections.min(unclassified.keySet()));
            }
            addTo(pending, ownFaultIncarnation.get(), common);
        }
        unclassified.clear();
        writePending();
    }

    /**
     * Records suspects that were in an answer that went on well, and reports them if other nodes need to know. May be
     * called by any thread.
     *
     * @param suspects identifiers of the suspects
     * @param revision the store's revision that this node knew at that time
     */
    void reportSound(Set<String> suspects, long revision) {
        context.control().schedule(() -> {
            Map<String, Long> evidence = new HashMap<>();
            suspects.forEach(suspect -> evidence.put(suspect, revision));
            ownEvidence.accept(evidence);
            evidence.forEach((suspect, known) -> sound.merge(suspect, known, Math::max));
            if (!soundScheduled) {
                soundScheduled = true;
                context.control().schedule(this::writeSound, soundDelayMillis, TimeUnit.MILLISECONDS);
            }
        });
    }

    /**
     * Tells all nodes that a request was sent although its suspects are refused. May be called by any thread.
     *
     * @param sentBySuspect the number of probes that were sent so far, by identifier of the suspect
     */
    void reportProbes(Map<String, Long> sentBySuspect) {
        context.control().schedule(() -> {
            untoldProbes.putAll(sentBySuspect);
            writePending();
        });
    }

    /** Writes recent reports again, because the store has lost them. May be called by any thread. */
    void writeAgain() {
        context.control().schedule(() -> {
            lease.discard();
            long nowMillis = context.clocks().nowMillis();
            written.values().removeIf(report -> nowMillis - report.writtenMillis() > WRITE_AGAIN_MILLIS);
            untoldProbes.putAll(toldProbes);
            writePending();
            if (written.isEmpty()) {
                return;
            }
            renewLease();
            written.forEach((key, report) -> write(id -> key, report.value(), () -> {}));
        });
    }

    private void scheduleWrite(long delayMillis) {
        context.control().schedule(this::writePending, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void writePending() {
        if (reachability.isCutOff() && !pending.isEmpty()) {
            context.log()
                    .logState(LogFields.event("crashes not reported; this node is cut off from the upstreams")
                            .field("upstreams", pending.size()));
            pending.clear();
        }
        if (pending.isEmpty() && untoldProbes.isEmpty()) {
            return;
        }
        renewLease();
        Map<String, Set<Suspect>> broken = new HashMap<>(pending);
        pending.clear();
        broken.forEach(this::writeCrash);
        if (!untoldProbes.isEmpty()) {
            writeProbes();
        }
    }

    private void writeProbes() {
        Map<String, Long> probes = new HashMap<>(untoldProbes);
        untoldProbes.clear();
        toldProbes.putAll(probes);
        write(
                id -> context.items().probesKey(context.self().name(), id),
                NodeItems.encodeNumbers(toldProbes),
                () -> probes.forEach((suspect, sent) -> untoldProbes.merge(suspect, sent, Math::max)));
    }

    private void renewLease() {
        if (lease.renewIfDue()) {
            reported.clear();
            toldSound.clear();
            toldProbes.clear();
        }
    }

    private void writeCrash(String incarnation, Set<Suspect> suspects) {
        if (suspects.isEmpty()) {
            return;
        }
        long nowMillis = context.clocks().nowMillis();
        reported.values().removeIf(crash -> nowMillis - crash.firstMillis() > CRASH_SPAN_MILLIS);
        Set<Suspect> all = reported.computeIfAbsent(incarnation, key -> new Broken(nowMillis, new HashSet<>()))
                .suspects();
        if (!all.addAll(suspects)) {
            return;
        }
        String key = context.items().crashKey(context.self().name(), incarnation);
        context.log()
                .logState(LogFields.event("crash reported").field("key", key).field("suspects", all.size()));
        byte[] value = NodeItems.encodeSuspects(all);
        written.values().removeIf(report -> nowMillis - report.writtenMillis() > WRITE_AGAIN_MILLIS);
        written.put(key, new WrittenReport(value, nowMillis));
        write(id -> key, value, () -> {
            all.removeAll(suspects);
            addTo(pending, incarnation, suspects);
        });
    }

    private void writeSound() {
        soundScheduled = false;
        CrashVerdicts verdicts = context.view().get().crashes();
        sound.keySet().retainAll(verdicts.watched());
        if (sound.isEmpty()) {
            return;
        }
        renewLease();
        sound.forEach((suspect, revision) -> toldSound.merge(suspect, revision, Math::max));
        sound.clear();
        write(id -> context.items().soundKey(context.self().name(), id), NodeItems.encodeNumbers(toldSound), () -> {});
    }

    private void write(LongFunction<String> keyOfLease, byte[] value, Runnable onFailed) {
        lease.id()
                .flatMap(id -> context.store().write(new MetadataStore.Write(keyOfLease.apply(id), value, id)))
                .publishOn(context.control())
                .subscribe(
                        revision -> {
                            if (revision.isEmpty()) {
                                repeat(LogFields.event("lease of crash reports has ended; writing again"), onFailed);
                            }
                        },
                        error -> repeat(
                                LogFields.event("crash report not written; writing again")
                                        .error(error),
                                onFailed));
    }

    private void repeat(LogFields line, Runnable onFailed) {
        context.log().logState(line);
        lease.discard();
        onFailed.run();
        scheduleWrite(RETRY_DELAY_MILLIS);
    }
}
