package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.SoftwareVersions;
import org.cowslipbank.decision.relay.SoftwareVersions.Version;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.entry.traffic.MonotonicClock;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.scheduler.Schedulers;

/** Failure guarded against: a node that starts does not learn of a software version at which streams have begun. */
final class SoftwareVersionRecorderTest {
    private static final String EVENTS = "id: 1\ndata: a\n\n";
    private static final Version OLD = new Version("llm", "v1");
    private static final Version NEW = new Version("llm", "v2");

    private final NodeItems items = PlatformStates.ITEMS;
    private final StreamOrigins origins = new StreamOrigins("n1");
    private final PlatformState state = PlatformStates.create(origins, PlatformStates.log());

    private static void answer(ScriptedUpstream.Received request, Socket socket) throws IOException {
        ScriptedUpstream.beginStream(request, socket, EVENTS);
        ScriptedUpstream.endStream(socket);
    }

    @Example
    void resumableStreamsBeginOnceTheirVersionIsRecorded() throws Exception {
        try (RelaySystem system = new RelaySystem()) {
            system.engine("i-1", "v1", SoftwareVersionRecorderTest::answer);
            system.start();
            system.store.setReadOnly(true);
            ScriptedUpstream second = system.engine("i-2", "v2", SoftwareVersionRecorderTest::answer);
            system.store.remove("servers/i-1");
            system.awaitStoreApplied();
            assert system.send("/stream/", "r1", "", "prompt").startsWith("HTTP/1.1 503");
            assert second.received.isEmpty() : second.received;
            assert system.send("/once/", "r2", "", "prompt").startsWith("HTTP/1.1 200");
            system.store.setReadOnly(false);
            RelaySystem.await(
                    "the version is recorded", () -> system.store.keys().contains(items.softwareKey(NEW)));
            assert system.send("/stream/", "r3", "", "prompt").startsWith("HTTP/1.1 200");
        }
    }

    private StoreItem item(String key, byte[] value, long revision) {
        return new StoreItem(key, value, revision, revision, 0);
    }

    private StoreItem software(Version version, long revision) {
        return item(items.softwareKey(version), NodeItems.encodeSoftware(version), revision);
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void start(List<StoreItem> all, long era) {
        state.applySnapshot(new MetadataStore.Range(all, 100, era), 0, Long.MAX_VALUE, 0);
    }

    @Example
    void recordExpiresWithTheLastStreamOfItsVersion() {
        start(List.of(software(OLD, 5), software(NEW, 6)), 0);
        origins.onRegistered("llm", Map.of("v2", 1L), 0);
        assert state.expiredSoftwareRecords(StreamOrigins.STREAM_LIFE_MILLIS - 1)
                .isEmpty();
        assert origins.onlyVersion("llm", StreamOrigins.STREAM_LIFE_MILLIS).isEmpty();
        List<PlatformState.SoftwareRecord> expired = state.expiredSoftwareRecords(StreamOrigins.STREAM_LIFE_MILLIS);
        assert expired.size() == 1 && expired.get(0).version().equals(OLD) : expired;
        state.applyChanges(
                List.of(new StoreItem(items.softwareKey(OLD), null, 101, 0, 0)), 101, StreamOrigins.STREAM_LIFE_MILLIS);
        assert origins.onlyVersion("llm", StreamOrigins.STREAM_LIFE_MILLIS).equals(Optional.of("v2"));
    }

    /** Failure guarded against: a leader whose view is out of date removes the record of a version that is back. */
    @Example
    void leaderRemovesNoRecordByOldKnowledge() {
        FakeMetadataStore store = new FakeMetadataStore();
        for (Version version : List.of(OLD, NEW)) {
            store.put(
                    items.softwareKey(version), new String(NodeItems.encodeSoftware(version), StandardCharsets.UTF_8));
        }
        state.applySnapshot(store.range("").block(), 0, Long.MAX_VALUE, 0);
        origins.onRegistered("llm", Map.of("v2", 1L), 0);
        long nowMillis = StreamOrigins.STREAM_LIFE_MILLIS;
        AtomicLong confirmedMillis = new AtomicLong(nowMillis - SoftwareVersions.MAX_KNOWLEDGE_AGE_MILLIS);
        Clocks clocks = new Clocks(() -> nowMillis, () -> nowMillis);
        ControlContext context = new ControlContext(
                null,
                store,
                items,
                () -> PlatformView.EMPTY,
                clocks,
                Schedulers.immediate(),
                new DecisionLog(MonotonicClock.SYSTEM, 1));
        SoftwareVersionRecorder recorder = new SoftwareVersionRecorder(
                context,
                state,
                origins.versions(),
                () -> true,
                () -> Optional.of(new ConfigurationConfirmation(confirmedMillis.get(), confirmedMillis.get())));
        recorder.lead();
        assert store.keys().contains(items.softwareKey(OLD));
        confirmedMillis.incrementAndGet();
        recorder.lead();
        // The era is marked as well, since all versions are known.
        assert store.keys().equals(List.of(items.completeStreamsEraKey(), items.softwareKey(NEW))) : store.keys();
    }

    /** Failure guarded against: streams begin at a version that came back while the removal of its record is on its way. */
    @Example
    void recordFromBeforeTheUpstreamsIsRewrittenBeforeStreamsBegin() throws Exception {
        try (RelaySystem system = new RelaySystem()) {
            system.store.put(items.softwareKey(OLD), new String(NodeItems.encodeSoftware(OLD), StandardCharsets.UTF_8));
            long recordedRevision = system.store.revision();
            system.engine("i-1", "v1", SoftwareVersionRecorderTest::answer);
            system.start();
            assert system.send("/stream/", "r1", "", "prompt").startsWith("HTTP/1.1 200");
            assert system.store.item(items.softwareKey(OLD)).get().revision() > recordedRevision;
        }
    }

    @Example
    void startedNodeReliesOnRecordsThatAreLaterThanTheirUpstreams() {
        start(List.of(configuration(1, true, 5), software(OLD, 8), upstream("v1", 9, 7)), 0);
        state.recordSoftwareVersions(0);
        assert origins.versions().mayBegin("llm", "v1");
    }

    /** An upstream has changed its version under the same key; the other record is from before that. */
    @Example
    void versionThatReplacedAnotherUnderItsKeyHasItsRecordRewritten() {
        start(List.of(configuration(1, true, 5), software(OLD, 6), software(NEW, 7), upstream("v2", 4, 4)), 0);
        state.recordSoftwareVersions(0);
        state.applyChanges(List.of(upstream("v1", 101, 4)), 101, 1_000);
        state.recordSoftwareVersions(1_000);
        assert !origins.versions().mayBegin("llm", "v1");
        state.applyChanges(List.of(software(OLD, 102)), 102, 1_000);
        assert origins.versions().mayBegin("llm", "v1");
    }

    /** The store was restored while no node ran, and another node has marked the era as complete since. */
    @Example
    void nodeThatStartsAfterARestoreTakesNoVersionForTheOnlyOne() {
        start(
                List.of(
                        item(items.completeEraKey(), text("2"), 5),
                        item(items.completeStreamsEraKey(), text("1"), 6),
                        software(NEW, 7)),
                2);
        origins.onRegistered("llm", Map.of("v2", 1L), 0);
        assert state.streamsEraToMark(StreamOrigins.STREAM_LIFE_MILLIS - 1).isEmpty();
        assert origins.onlyVersion("llm", StreamOrigins.STREAM_LIFE_MILLIS - 1).isEmpty();
        assert origins.onlyVersion("llm", StreamOrigins.STREAM_LIFE_MILLIS).equals(Optional.of("v2"));
        assert state.streamsEraToMark(StreamOrigins.STREAM_LIFE_MILLIS).getAsLong() == 2;
    }

    @Example
    void recordsThatARestoreLostAreWrittenAgain() {
        start(List.of(item(items.completeEraKey(), text("1"), 5), software(OLD, 6), software(NEW, 7)), 1);
        state.applySnapshot(
                new MetadataStore.Range(List.of(item(items.completeEraKey(), text("1"), 5)), 90, 2), 100, 0, 1_000);
        assert Set.copyOf(origins.versions().unrecorded(1_000)).equals(Set.of(OLD, NEW));
    }

    /** Failure guarded against: one node removes the record of a service without resumable routes, others write it again. */
    @Example
    void serviceThatLosesItsResumableRouteNeedsNoRecord() {
        start(List.of(configuration(1, true, 5), upstream("v1", 6, 6), software(OLD, 7)), 0);
        state.recordSoftwareVersions(0);
        assert origins.onlyVersion("llm", 0).equals(Optional.of("v1"));
        state.applyChanges(List.of(configuration(2, false, 101)), 101, 1_000);
        state.recordSoftwareVersions(1_000);
        long expiredMillis = 1_000 + StreamOrigins.STREAM_LIFE_MILLIS;
        assert state.expiredSoftwareRecords(expiredMillis).size() == 1;
        state.applyChanges(List.of(new StoreItem(items.softwareKey(OLD), null, 102, 0, 0)), 102, expiredMillis);
        assert origins.versions().unrecorded(expiredMillis).isEmpty();
    }

    private static StoreItem upstream(String softwareVersion, long revision, long createRevision) {
        String value = "{\"Service\":\"llm\",\"Address\":\"127.0.0.1:80\",\"Zone\":\"a\",\"Slots\":16,"
                + "\"State\":\"ready\",\"born\":" + revision + ",\"Version\":\"" + softwareVersion
                + "\",\"Sequence\":1}";
        return new StoreItem("servers/i-1", text(value), revision, createRevision, 0);
    }

    private StoreItem configuration(int version, boolean resumable, long revision) {
        String value = RelaySystem.configuration(version, "\"key\"");
        return item(
                "op/config",
                text(resumable ? value : value.replace("\"Resumable\":true", "\"Resumable\":false")),
                revision);
    }
}
