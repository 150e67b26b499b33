package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.DefaultEventLoop;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cowslipbank.decision.relay.CacheDirectory;
import org.cowslipbank.entry.relay.FeedMessages.Answer;
import org.cowslipbank.entry.relay.FeedMessages.Parts;
import org.cowslipbank.entry.relay.FeedMessages.Question;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.platform.PlatformItems;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CacheChange;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import reactor.core.publisher.Mono;

final class StoreFollowerTest {
    private static final String CONFIGURATION =
            """
            {"Version":1,"Routes":[],"Services":[
              {"Name":"kept","KvStoreAddr":"10.0.0.1:80","KvCapacity":100,"MaxInFlight":12,"Managed":true}]}
            """;
    private static final CacheChange PART = new CacheChange(true, "s", "p", 10);

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final List<String> asked = new CopyOnWriteArrayList<>();
    private final AtomicBoolean hasHub = new AtomicBoolean();
    private final CacheDirectory directory = new CacheDirectory();
    private final StoreFollower follower;

    StoreFollowerTest() {
        DecisionLog log = new DecisionLog(Clocks.SYSTEM.monotonic(), DecisionLog.LINES_PER_SECOND);
        PlatformState state = new PlatformState(new PlatformItems(), new OwnItems("cowslipbank/"), log);
        byte[] value = CONFIGURATION.getBytes(StandardCharsets.UTF_8);
        state.onRange(List.of(new StoreItem("op/config", value, 2, 2, 0)), 2, 0);
        PlatformView view = state.view();
        EngineControl engines = new SilentStores();
        StoreFollower.Sources sources =
                new StoreFollower.Sources(engines, new FleetFeed(loop, Clocks.SYSTEM), hasHub::get);
        follower = new StoreFollower(sources, directory, () -> view, loop, Clocks.SYSTEM, log);
    }

    /** Cache stores that never answer. */
    private final class SilentStores implements EngineControl {
        @Override
        public Mono<Report> report(String address) {
            return Mono.never();
        }

        @Override
        public Mono<OrderOutcome> order(String address, VersionOrder order) {
            return Mono.never();
        }

        @Override
        public Mono<CacheChanges> cacheChanges(String address, long since, long waitMillis) {
            asked.add(address);
            return Mono.never();
        }

        @Override
        public Mono<Boolean> free(String address, long epoch, List<CachedPart> parts) {
            return Mono.never();
        }
    }

    @AfterTry
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void onLoop(Runnable step) {
        loop.submit(step).syncUninterruptibly();
    }

    /** Failure guarded against: members whose hub fails take the hubs' places at a store that holds twelve calls. */
    @Example
    void membersAskNoCacheStore() {
        hasHub.set(true);
        onLoop(follower::refresh);
        onLoop(follower::refresh);
        assert asked.isEmpty() : asked;
    }

    /** Failure guarded against: a member that becomes a hub follows no store. */
    @Example
    void newHubAsksTheStores() {
        hasHub.set(true);
        onLoop(follower::refresh);
        hasHub.set(false);
        onLoop(follower::refresh);
        onLoop(follower::refresh);
        assert asked.equals(List.of("10.0.0.1:80")) : asked;
    }

    /** Failure guarded against: what a hub tells of a store is lost, or taken from a hub that was asked before. */
    @Example
    void changesOfTheHubAreTaken() {
        hasHub.set(true);
        List<Integer> sizes = new ArrayList<>();
        onLoop(() -> {
            follower.refresh();
            Question question = new Question(2, follower.numbers("hub"));
            CacheChanges changes = new CacheChanges(7, 5, true, OptionalLong.empty(), List.of(PART));
            Answer answer = new Answer(2, List.of(), 0, 0, 0, Map.of("kept", Parts.of(changes)));
            follower.onFed("earlier", question, answer);
            sizes.add(directory.size());
            follower.onFed("hub", question, answer);
            sizes.add(directory.size());
            assert follower.numbers("hub").equals(Map.of("kept", 5L));
            follower.onFed("hub", question, new Answer(2, List.of(), 0, 0, 0, Map.of()));
            sizes.add(directory.size());
            assert follower.numbers("hub").equals(Map.of("kept", Question.LOST));
        });
        assert sizes.equals(List.of(0, 1, 0)) : sizes;
    }
}
