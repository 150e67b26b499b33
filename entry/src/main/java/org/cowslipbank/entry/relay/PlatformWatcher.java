package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.decision.relay.NamedVersions;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.ports.relay.MetadataStore;
import org.cowslipbank.ports.relay.MetadataStore.Changes;
import org.cowslipbank.ports.relay.MetadataStore.Range;
import org.cowslipbank.ports.relay.PlatformDecoder;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Follows the metadata store with a single watch, or through the node's hub. Each answer also confirms that no newer
 * configuration exists, so the watch returns often enough for the revocation bound even if nothing changes. Runs on the
 * control thread.
 */
final class PlatformWatcher {
    /** Longest wait of a watch; a lost call is detected and repeated well within the revocation bound of 5 s. */
    static final long MAX_WATCH_MILLIS = 1_100;

    /** By how much the end of a watch's wait may be earlier than the node's clock tells. */
    static final long WAIT_MARGIN_MILLIS = MAX_WATCH_MILLIS / 10;

    /**
     * Pause per registered node after a watch that returned changes. When a whole fleet starts, every node writes
     * changes; without the pause each of them would cost a call by each node.
     */
    static final long CHANGE_PAUSE_MILLIS_PER_NODE = 4;

    /** Longest such pause; changes must be in force within 2 s. */
    static final long MAX_CHANGE_PAUSE_MILLIS = 350;

    /** Pause after a failed call; doubles with each failure up to {@link #MAX_RETRY_PAUSE_MILLIS}. */
    static final long MIN_RETRY_PAUSE_MILLIS = 60;

    /** Longest pause after a failed call. */
    static final long MAX_RETRY_PAUSE_MILLIS = 400;

    /** How often a node that follows a hub checks whether it has to read the metadata store directly. */
    static final long HUB_CHECK_MILLIS = 100;

    /** Wait of a watch that asks for the present state. */
    static final long REFRESH_WATCH_MILLIS = 1;

    /** Shortest time between two such calls, so that the streams of a lost node that are taken up share them. */
    static final long MIN_REFRESH_INTERVAL_MILLIS = 50;

    /** The same per registered node; a large fleet stays within half of the store's 2,000 reads a second. */
    static final long REFRESH_INTERVAL_MILLIS_PER_NODE = 1;

    /**
     * Time without bytes of a read after which the store no longer counts as answering; longer than an answer may pause.
     */
    static final long SILENT_MILLIS = 1_000;

    /** Interval of the check for vanished registrations and old reports to drop. */
    static final long EXPIRY_CHECK_MILLIS = 150;

    /** Length up to which the history is read rather than all items, even if these are fewer bytes. */
    static final long MIN_HISTORY_BYTES = 256 << 10;

    /**
     * The same as a multiple of all items while the node is not behind: members of a hub need the history, and the store
     * sends each version of a value that changes often.
     */
    static final int HISTORY_READINGS = 4;

    /** Age of the confirmation from which a node is behind; between two answers it grows to a watch and a pause. */
    static final long BEHIND_MILLIS = MAX_WATCH_MILLIS + MAX_CHANGE_PAUSE_MILLIS + 50;

    private final MetadataStore store;
    private final PlatformDecoder decoder;
    private final PlatformState state;
    private final Clocks clocks;
    private final Scheduler control;
    private final DecisionLog log;
    private final StoreReadLog readLog;
    private final Listener listener;
    private volatile PlatformView view = PlatformView.EMPTY;
    private volatile Optional<ConfigurationConfirmation> confirmation = Optional.empty();
    private final StateReadings readings = new StateReadings();
    private final AtomicBoolean refreshing = new AtomicBoolean();
    private Disposable call;
    private volatile boolean connected;
    private volatile boolean settled;
    private boolean stopped;
    private long retryPauseMillis = MIN_RETRY_PAUSE_MILLIS;
    private long lastAnswerMillis;
    private long nextRefreshMillis = Long.MIN_VALUE / 2;
    private long readingBytes = MIN_HISTORY_BYTES;

    PlatformWatcher(
            MetadataStore store,
            PlatformDecoder decoder,
            PlatformState state,
            Clocks clocks,
            Scheduler control,
            DecisionLog log,
            Listener listener) {
        this.store = store;
        this.decoder = decoder;
        this.state = state;
        this.clocks = clocks;
        this.control = control;
        this.log = log;
        this.readLog = new StoreReadLog(log);
        this.listener = listener;
    }

    /** Receives the platform's state and the changes that are passed on to other nodes. */
    interface Listener {
        /**
         * Called with every new state.
         *
         * @param view the new state
         */
        void onView(PlatformView view);

        /**
         * Returns whether changes come from a hub.
         *
         * @return true if the metadata store need not be read
         */
        boolean followsHub();

        /**
         * Called when a watch of the metadata store has returned, with or without changes.
         *
         * @param fromRevision revision after which the changes begin
         * @param changes the changes that differ from what was known
         * @param confirmed when the store was last known to have nothing newer
         * @param reconnectedMillis when this node last regained contact with the store, in milliseconds
         */
        void onChanges(long fromRevision, Changes changes, ConfigurationConfirmation confirmed, long reconnectedMillis);

        /** Called when this node may have missed changes of the store, or no longer follows it. */
        void onChangesMissed();

        /**
         * Called when the store was restored from a copy, so that it lacks the last writes of the nodes.
         *
         * @param firstReading true if this node knows nothing from before
         */
        void onStoreRestored(boolean firstReading);
    }

    PlatformView view() {
        return view;
    }

    /**
     * Returns whether a confirmation of the configuration is to be expected with the next answer of the store.
     *
     * @return false if the store does not answer, or lacks writes because it was restored from a copy
     */
    boolean canConfirm() {
        return connected && settled;
    }

    /**
     * Returns whether answers of the store are coming, complete ones or parts.
     *
     * @return false if it is silent, so that nobody can know a newer configuration through it
     */
    boolean isStoreAnswering() {
        MetadataStore.Contact contact = store.contact();
        return contact.arriving() || contact.silentMillis() < SILENT_MILLIS;
    }

    /**
     * Returns the last confirmation. It holds for the view that is read after it, but not for one that was read before.
     *
     * @return the confirmation, empty before the first
     */
    Optional<ConfigurationConfirmation> confirmation() {
        return confirmation;
    }

    StateReadings readings() {
        return readings;
    }

    /**
     * Reads the newest changes from the metadata store with a call of its own, because a watch returns late, or never after
     * a disturbance. May be called by any thread; while such a call is in progress or an answer arrives, nothing happens: the
     * same bytes a second time would delay both answers.
     */
    void refresh() {
        if (!store.contact().arriving() && refreshing.compareAndSet(false, true)) {
            control.schedule(() -> {
                long delayMillis = Math.max(0, nextRefreshMillis - clocks.nowMillis());
                control.schedule(this::readChanges, delayMillis, TimeUnit.MILLISECONDS);
            });
        }
    }

    private void readChanges() {
        if (stopped || view.revision() == 0 || store.contact().arriving()) {
            refreshing.set(false);
            return;
        }
        LeaderLease.ClockReading sentAt = clocks.now();
        nextRefreshMillis = sentAt.monotonicMillis()
                + Math.max(
                        MIN_REFRESH_INTERVAL_MILLIS,
                        REFRESH_INTERVAL_MILLIS_PER_NODE * view.nodes().size());
        long reading = readings.begin();
        store.watch(decoder.watchedPrefix(), view.revision(), REFRESH_WATCH_MILLIS, maxHistoryBytes(sentAt))
                .publishOn(control)
                .flatMap(changes -> {
                    onContact();
                    changes.ifPresent(known -> applyChanges(known, sentAt, reading));
                    // A node that does not follow a hub has a watch, which finds the same.
                    return changes.isEmpty() && listener.followsHub() ? readAllBeside() : Mono.empty();
                })
                .doFinally(signal -> refreshing.set(false))
                .subscribe(
                        range -> {},
                        // The watch notices it as well if the store is lost.
                        error -> log.logRequest(LogFields.event("metadata store does not tell its newest changes")
                                .error(error)));
    }

    /** Reads all items while the node follows a hub that is behind itself. */
    private Mono<Range> readAllBeside() {
        LeaderLease.ClockReading sentAt = clocks.now();
        long reading = readings.begin();
        long revisionAtSend = view.revision();
        return store.range(decoder.watchedPrefix())
                .publishOn(control)
                .doOnNext(range -> applyReading(range, revisionAtSend, sentAt, reading));
    }

    void start() {
        lastAnswerMillis = clocks.nowMillis();
        control.schedule(this::readAll);
        control.schedulePeriodically(
                new GuardedTask("expired registrations and reports", this::dropExpired, log),
                EXPIRY_CHECK_MILLIS,
                EXPIRY_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void dropExpired() {
        if (state.dropExpired(clocks.nowMillis())) {
            publish();
        }
    }

    void stop() {
        control.schedule(() -> {
            stopped = true;
            if (call != null) {
                call.dispose();
            }
        });
    }

    private void readAll() {
        LeaderLease.ClockReading sentAt = clocks.now();
        long reading = readings.begin();
        long revisionAtSend = view.revision();
        callStore(
                store.range(decoder.watchedPrefix()),
                range -> onSnapshot(range, revisionAtSend, sentAt, reading),
                this::readAll);
    }

    private void onSnapshot(Range range, long revisionAtSend, LeaderLease.ClockReading sentAt, long reading) {
        applyReading(range, revisionAtSend, sentAt, reading);
        watch();
    }

    private void applyReading(Range range, long revisionAtSend, LeaderLease.ClockReading sentAt, long reading) {
        onContact();
        boolean firstReading = view.routes().isEmpty();
        readingBytes = Math.max(MIN_HISTORY_BYTES, range.encodedBytes());
        LeaderLease.ClockReading now = clocks.now();
        long missedMillis = confirmation
                .map(known -> known.ageMillis(now.monotonicMillis(), now.wallMillis()))
                .orElse(Long.MAX_VALUE);
        if (state.applySnapshot(range, revisionAtSend, missedMillis, now.monotonicMillis())) {
            listener.onStoreRestored(firstReading);
        }
        publish();
        confirm(sentAt);
        readLog.onReading(range, view, state.isEraMarked(), settled, now.monotonicMillis() - sentAt.monotonicMillis());
        onApplied(reading);
    }

    private void onApplied(long reading) {
        // A restored store may lack registrations.
        if (settled) {
            readings.onApplied(reading);
        }
    }

    /**
     * Takes over what another node tells about a weight version. May be called by any thread.
     *
     * @param modelHash {@link FleetLoads#shortHash} of the model's name
     * @param told the version with its time on this node's clock
     */
    void onVersionTold(int modelHash, NamedVersions.Name told) {
        boolean isNews = view.versions().values().stream()
                .filter(known -> FleetLoads.shortHash(known.model()) == modelHash)
                .anyMatch(known -> known.withTold(told) != known);
        if (!isNews) {
            return;
        }
        Runnable applying = () -> {
            if (state.onVersionTold(modelHash, told)) {
                publish();
            }
        };
        control.schedule(new GuardedTask("weight version told", applying, log));
    }

    /** Applies a hub's answer. */
    void onHubAnswer(FeedMessages.PollAnswer answer, LeaderLease.ClockReading sentAt) {
        Runnable applying = () -> {
            onContact();
            state.onReconnected(clocks.nowMillis() - answer.contactBackAgeMillis());
            state.applyChanges(
                    answer.items().stream()
                            .map(FeedMessages.ItemMessage::decode)
                            .toList(),
                    answer.revision(),
                    clocks.nowMillis());
            publish();
            confirm(sentAt.plus(answer.heldMillis() - answer.confirmedAgeMillis()));
        };
        control.schedule(new GuardedTask("changes of the hub", applying, log));
    }

    private void watch() {
        if (listener.followsHub()) {
            listener.onChangesMissed();
            control.schedule(this::watch, HUB_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        LeaderLease.ClockReading sentAt = clocks.now();
        long reading = readings.begin();
        long afterRevision = view.revision();
        Mono<Optional<Changes>> watch =
                store.watch(decoder.watchedPrefix(), afterRevision, MAX_WATCH_MILLIS, maxHistoryBytes(sentAt));
        callStore(
                watch,
                changes -> {
                    long millis = clocks.nowMillis() - sentAt.monotonicMillis();
                    changes.ifPresent(known -> readLog.onWatch(afterRevision, known, MAX_WATCH_MILLIS, millis));
                    onWatched(changes, sentAt, reading);
                },
                this::watch);
    }

    /**
     * Returns the longest history to read. It has each version of a value, while all items have only the last one; a node that
     * is behind would ask for a longer one each time if a part did not fit into the call.
     */
    private long maxHistoryBytes(LeaderLease.ClockReading now) {
        boolean behind = confirmation
                .filter(known -> known.ageMillis(now.monotonicMillis(), now.wallMillis()) < BEHIND_MILLIS)
                .isEmpty();
        return behind ? readingBytes : HISTORY_READINGS * readingBytes;
    }

    private void onWatched(Optional<Changes> changes, LeaderLease.ClockReading sentAt, long reading) {
        onContact();
        if (changes.isEmpty()) {
            log.logState(LogFields.event("metadata store does not have the changes since revision; reading all items")
                    .field("revision", view.revision()));
            listener.onChangesMissed();
            readAll();
            return;
        }
        boolean unchanged = changes.get().items().isEmpty();
        // A watch without changes confirms the state at the end of its wait, less a margin for the rates of clocks.
        // When
        // the store decided to end one early is not known.
        long waitedMillis = Math.min(MAX_WATCH_MILLIS, clocks.nowMillis() - sentAt.monotonicMillis());
        boolean waited = waitedMillis >= MAX_WATCH_MILLIS - WAIT_MARGIN_MILLIS;
        LeaderLease.ClockReading confirmedAt =
                unchanged && waited ? sentAt.plus(waitedMillis - WAIT_MARGIN_MILLIS) : sentAt;
        applyChanges(changes.get(), confirmedAt, reading);
        if (unchanged) {
            watch();
        } else {
            long pause = CHANGE_PAUSE_MILLIS_PER_NODE * view.nodes().size();
            control.schedule(this::watch, Math.min(MAX_CHANGE_PAUSE_MILLIS, pause), TimeUnit.MILLISECONDS);
        }
    }

    private void applyChanges(Changes changes, LeaderLease.ClockReading confirmedAt, long reading) {
        long fromRevision = view.revision();
        List<StoreItem> different = state.applyChanges(changes.items(), changes.revision(), clocks.nowMillis());
        publish();
        confirm(confirmedAt);
        onApplied(reading);
        if (listener.followsHub()) {
            return;
        }
        // Another call may have brought later changes before this answer.
        Changes passedOn = new Changes(different, Math.max(fromRevision, changes.revision()));
        confirmation.ifPresentOrElse(
                confirmed -> listener.onChanges(fromRevision, passedOn, confirmed, state.reconnectedMillis()),
                listener::onChangesMissed);
    }

    /** Called after the view was published, so that other threads which read in the reverse order see what is confirmed. */
    private void confirm(LeaderLease.ClockReading at) {
        ConfigurationConfirmation next = new ConfigurationConfirmation(at.monotonicMillis(), at.wallMillis());
        settled = state.isSettled(clocks.nowMillis());
        if (!settled) {
            // The store may lack its newest configuration, so its answer confirms nothing.
            return;
        }
        long missedMillis = confirmation
                .map(known -> known.ageMillis(next.monotonicMillis(), next.wallMillis()))
                .orElse(0L);
        long known =
                confirmation.map(ConfigurationConfirmation::monotonicMillis).orElse(Long.MIN_VALUE);
        if (next.monotonicMillis() >= known) {
            state.onConfirmed(next.monotonicMillis(), missedMillis);
            confirmation = Optional.of(next);
        }
    }

    private void publish() {
        boolean changed = state.hasChanged();
        if (changed) {
            state.recordSoftwareVersions(clocks.nowMillis());
        }
        view = state.view();
        if (changed) {
            listener.onView(view);
        }
    }

    private void onContact() {
        if (!connected) {
            log.logState(LogFields.event("metadata store reached")
                    .field("awayMillis", clocks.nowMillis() - lastAnswerMillis));
            if (view.revision() > 0) {
                state.onReconnected(clocks.nowMillis());
            }
        }
        connected = true;
        retryPauseMillis = MIN_RETRY_PAUSE_MILLIS;
        lastAnswerMillis = clocks.nowMillis();
    }

    private <T> void callStore(Mono<T> mono, Consumer<T> onResult, Runnable retry) {
        if (stopped) {
            return;
        }
        call = mono.publishOn(control).subscribe(onResult, error -> onError(error, retry));
    }

    private void onError(Throwable error, Runnable retry) {
        if (connected) {
            log.logState(LogFields.event("metadata store lost").error(error));
        }
        connected = false;
        listener.onChangesMissed();
        control.schedule(retry, retryPauseMillis, TimeUnit.MILLISECONDS);
        retryPauseMillis = Math.min(MAX_RETRY_PAUSE_MILLIS, retryPauseMillis * 2);
    }
}
