package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.CacheIndex;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.decision.suspects.RefusalProbes;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.platform.MetadataItemDecoder;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.publisher.Mono;

final class CacheStoreCleanerTest {
    private static final String STORE = "10.0.0.1:80";
    private static final long CONFIGURATION_VALID_MILLIS = 5_000;
    private static final String CONFIGURATION =
            """
            {"Version":%d,"Routes":[],"Services":[
              {"Name":"kept","KvStoreAddr":"10.0.0.1:80","KvCapacity":100,"MaxInFlight":12,"Managed":true}],
             "Tenants":[{"Name":"t","ApiKeys":["k"],"Isolated":%b}]}
            """;
    private static final String ENGINE =
            """
            {"Service":"llm","Address":"10.0.0.2:80","Zone":"a","Slots":1,"State":"ready","born":1,"Version":"v1",
             "Models":[{"Name":"m","Version":3}]}
            """;

    private final AtomicLong nowMillis = new AtomicLong(1_000_000);
    private final Clocks clocks = new Clocks(nowMillis::get, nowMillis::get);
    private final DecisionLog log = new DecisionLog(clocks.monotonic(), DecisionLog.LINES_PER_SECOND);
    private final PlatformState state = new PlatformState(
            new MetadataItemDecoder(), new NodeItems("cowslipbank/"), new StreamOrigins(), new RefusalProbes(), log);
    private final CacheIndex cacheIndex = new CacheIndex();
    private Optional<ConfigurationConfirmation> confirmation = Optional.empty();
    private boolean leading = true;
    private final List<String> freed = new ArrayList<>();
    private final CacheStoreCleaner cleaner = new CacheStoreCleaner(
            new RecordingStores(),
            cacheIndex,
            new CacheStoreCleaner.Knowledge(() -> confirmation, state::view, () -> leading, CONFIGURATION_VALID_MILLIS),
            clocks,
            new RelayMetrics(new MetricRegistry()),
            log);

    /** Cache stores that only record what is freed. */
    private final class RecordingStores implements EngineControl {
        @Override
        public Mono<Report> report(String address) {
            return Mono.never();
        }

        @Override
        public Mono<CommandOutcome> sendCommand(String address, VersionCommand command) {
            return Mono.never();
        }

        @Override
        public Mono<CacheChanges> cacheChanges(String address, long since, long waitMillis) {
            return Mono.never();
        }

        @Override
        public Mono<Boolean> free(String address, FreeCall call) {
            call.parts().forEach(part -> freed.add(part.scope()));
            return Mono.just(true);
        }
    }

    private void configure(long revision, boolean isolated) {
        byte[] configuration = CONFIGURATION.formatted(revision, isolated).getBytes(StandardCharsets.UTF_8);
        byte[] engine = ENGINE.getBytes(StandardCharsets.UTF_8);
        List<StoreItem> items = List.of(
                new StoreItem("op/config", configuration, revision, revision, 0),
                new StoreItem("servers/i-1", engine, revision, revision, 0));
        state.applySnapshot(new MetadataStore.Range(items, revision, 0), 0, nowMillis.get());
    }

    /** Failure guarded against: parts of teams that no longer share fill the stores, or are freed while in use. */
    @Example
    void groupsThatNoConfigurationUsesAreFreedOnceAllNodesHaveLeftThem() {
        configure(1, true);
        String isolated = "m/3/t";
        String common = "m/3/" + state.view().routes().get().sharing().groupOf(Optional.empty());
        cacheIndex.onStoreAnswer(STORE, 1, false, nowMillis.get());
        List.of(isolated, common, "m/3/").forEach(scope -> cacheIndex.onPartEvent(STORE, scope, "p", 10));
        cleaner.freeUnusedParts();
        nowMillis.addAndGet(60_000);
        cleaner.freeUnusedParts();
        assert freed.isEmpty() : freed;

        configure(2, false);
        cleaner.freeUnusedParts();
        nowMillis.addAndGet(CONFIGURATION_VALID_MILLIS + CacheStoreCleaner.MIN_UNUSED_MILLIS - 1);
        cleaner.freeUnusedParts();
        assert freed.isEmpty() : freed;
        nowMillis.addAndGet(1);
        cleaner.freeUnusedParts();
        assert freed.size() == 2 && freed.containsAll(List.of(isolated, common)) : freed;
    }

    /** Failure guarded against: a group that came into use again is freed because it was unused before. */
    @Example
    void groupThatIsUsedAgainIsKept() {
        configure(1, true);
        cacheIndex.onStoreAnswer(STORE, 1, false, nowMillis.get());
        cacheIndex.onPartEvent(STORE, "m/3/t", "p", 10);
        configure(2, false);
        cleaner.freeUnusedParts();
        nowMillis.addAndGet(5_000);
        configure(3, true);
        cleaner.freeUnusedParts();
        configure(4, false);
        nowMillis.addAndGet(5_000);
        cleaner.freeUnusedParts();
        assert freed.isEmpty() : freed;
    }
}
