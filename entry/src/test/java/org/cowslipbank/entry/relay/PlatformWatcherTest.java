package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.entry.relay.FeedMessages.ItemMessage;
import org.cowslipbank.entry.relay.FeedMessages.PollAnswer;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.platform.MetadataItemDecoder;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.scheduler.Schedulers;

final class PlatformWatcherTest {
    private static final byte[] CONFIGURATION =
            RelaySystem.configuration(1, "\"key\"").getBytes(StandardCharsets.UTF_8);

    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private Runnable onClockRead = () -> {};
    private final Clocks clocks = new Clocks(this::readClock, nowMillis::get);
    private final DecisionLog log = new DecisionLog(nowMillis::get, 1);
    private final PlatformState state = PlatformStates.create(log);
    private final PlatformWatcher watcher = new PlatformWatcher(
            new FakeMetadataStore(),
            new MetadataItemDecoder(),
            state,
            clocks,
            Schedulers.immediate(),
            log,
            new IgnoringListener(true));

    /** A listener that passes nothing on. */
    private record IgnoringListener(boolean followsHub) implements PlatformWatcher.Listener {
        @Override
        public void onView(PlatformView view) {}

        @Override
        public void onChanges(
                long fromRevision,
                MetadataStore.Changes changes,
                ConfigurationConfirmation confirmed,
                long reconnectedMillis) {}

        @Override
        public void onChangesMissed() {}

        @Override
        public void onStoreRestored(boolean firstReading) {}
    }

    private long readClock() {
        onClockRead.run();
        return nowMillis.get();
    }

    /**
     * Failure guarded against: another thread finds the confirmation that came with a new configuration beside the
     * configuration before, and accepts a key that was revoked or fetches a part that is freed.
     */
    @Example
    void confirmationIsNotVisibleBeforeItsConfiguration() {
        // Other threads may read at any time; the control thread reads the clock between its steps.
        onClockRead = () -> {
            assert watcher.confirmation().isEmpty() || watcher.view().revision() == 2;
        };
        StoreItem configuration = new StoreItem("op/config", CONFIGURATION, 2, 2, 0);
        PollAnswer answer = new PollAnswer(2, List.of(ItemMessage.of(configuration)), 0, 0, 0, Map.of(), Map.of());
        watcher.onHubAnswer(answer, clocks.now());
        assert watcher.confirmation().isPresent() && watcher.view().revision() == 2;
    }

    /**
     * Failure guarded against: a store that ends a watch early, or an answer that takes long, lets the node count as confirmed
     * what it cannot know.
     */
    @Example
    void watchThatEndsEarlyConfirmsWhenItWasSent() {
        long endMillis = PlatformWatcher.MAX_WATCH_MILLIS - PlatformWatcher.WAIT_MARGIN_MILLIS;
        assert confirmedMillis(endMillis - 1) == 0;
        assert confirmedMillis(endMillis) <= endMillis - PlatformWatcher.WAIT_MARGIN_MILLIS;
    }

    @Example
    void watchThatEndsAfterItsWaitConfirmsItsEnd() {
        assert confirmedMillis(PlatformWatcher.MAX_WATCH_MILLIS) == PlatformWatcher.MAX_WATCH_MILLIS * 9 / 10;
    }

    @Example
    void watchWhoseAnswerIsLateConfirmsTheEndOfItsWait() {
        assert confirmedMillis(PlatformWatcher.MAX_WATCH_MILLIS + 800) == PlatformWatcher.MAX_WATCH_MILLIS * 9 / 10;
    }

    /**
     * Failure guarded against: a member of a hub that is behind, for which the history is too long or gone, refuses requests although
     * the store would tell it the newest configuration.
     */
    @Example
    void memberReadsAllItemsWhereTheHistoryIsGone() {
        ManualScheduler control = new ManualScheduler(10_000);
        PausedMetadataStore store = new PausedMetadataStore();
        store.write(new StoreItem("op/config", CONFIGURATION, 2, 2, 0));
        PlatformWatcher member = watcher(store, control, new IgnoringListener(true));
        member.start();
        store.answer(0);
        control.advance(5_000);
        byte[] next = RelaySystem.configuration(2, "\"key\"").getBytes(StandardCharsets.UTF_8);
        store.write(new StoreItem("op/config", next, 3, 2, 0));
        store.loseHistory();
        member.refresh();
        control.advance(0);
        store.answer(0);
        store.answer(0);
        assert member.view().revision() == 3 : member.view().revision();
        assert member.confirmation().orElseThrow().monotonicMillis() == control.nowMillis();
        assert store.calls() == 0 : store.calls();
    }

    private static PlatformWatcher watcher(
            PausedMetadataStore store, ManualScheduler control, PlatformWatcher.Listener listener) {
        DecisionLog log = PlatformStates.log();
        return new PlatformWatcher(
                store,
                new MetadataItemDecoder(),
                PlatformStates.create(log),
                new Clocks(control::nowMillis, control::nowMillis),
                control,
                log,
                listener);
    }

    /** Returns how long after its send a watch that ends without changes after a while confirms the state. */
    private static long confirmedMillis(long afterMillis) {
        ManualScheduler control = new ManualScheduler(10_000);
        PausedMetadataStore store = new PausedMetadataStore();
        store.write(new StoreItem("op/config", CONFIGURATION, 2, 2, 0));
        PlatformWatcher following = watcher(store, control, new IgnoringListener(false));
        following.start();
        store.answer(0);
        long sentMillis = control.nowMillis();
        control.advance(afterMillis);
        store.answer(0);
        return following.confirmation().orElseThrow().monotonicMillis() - sentMillis;
    }
}
