package org.cowslipbank.entry.relay;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.cowslipbank.decision.relay.Confirmation;
import org.cowslipbank.decision.relay.OrderTurn;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.ports.relay.MetadataStore;
import org.cowslipbank.ports.relay.MetadataStore.Changes;
import org.cowslipbank.ports.relay.MetadataStore.Range;
import org.cowslipbank.ports.relay.PlatformDecoder;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Follows the metadata store with one watch over everything, or takes what the node's hub tells of it. Each answer also
 * confirms that no newer configuration exists, so the watch returns often enough for the revocation bound even if nothing
 * changes.
 */
final class PlatformWatcher {
    /** Longest wait of a watch: a lost one is noticed and repeated well within the revocation bound of 5 s. */
    static final long WATCH_MILLIS = 1_100;

    /**
     * Pause after a watch that told of changes, for each registered node: a start of the whole fleet changes something
     * for every node, and without it each change would cost a call of each node.
     */
    static final long PAUSE_MILLIS_PER_NODE = 4;

    /** Longest such pause; changes must be in force within two seconds. */
    static final long MAX_CHANGE_PAUSE_MILLIS = 350;

    /** Pause after a failed call; doubles up to the longest pause. */
    static final long MIN_PAUSE_MILLIS = 60;

    static final long MAX_PAUSE_MILLIS = 400;

    /** How often a member of a group looks whether it has to ask the store itself. */
    static final long FED_CHECK_MILLIS = 100;

    /** How often registrations that did not return are given up. */
    static final long EXPIRE_MILLIS = 150;

    private final MetadataStore store;
    private final PlatformDecoder decoder;
    private final PlatformState state;
    private final Clocks clocks;
    private final Scheduler control;
    private final DecisionLog log;
    private final Listener listener;
    private volatile PlatformView view = PlatformView.EMPTY;
    private volatile Optional<Confirmation> confirmation = Optional.empty();
    private Disposable call;
    private volatile boolean connected;
    private boolean stopped;
    private long pauseMillis = MIN_PAUSE_MILLIS;
    private long lastAnswerMillis;

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
        this.listener = listener;
    }

    /** What uses the platform's state, and passes changes on between nodes. */
    interface Listener {
        /**
         * The state has changed.
         *
         * @param view the new state
         */
        void onView(PlatformView view);

        /**
         * Tells whether a hub tells of changes.
         *
         * @return true if the store need not be asked
         */
        boolean isFed();

        /**
         * The store told of changes.
         *
         * @param fromRevision revision after which they begin
         * @param changes the changes
         * @param confirmed when nothing newer existed
         * @param backMillis when the store came back into reach, in milliseconds
         */
        void onChanges(long fromRevision, Changes changes, Confirmation confirmed, long backMillis);

        /** This node no longer knows each change from the store. */
        void onLost();
    }

    PlatformView view() {
        return view;
    }

    boolean isConnected() {
        return connected;
    }

    Optional<Confirmation> confirmation() {
        return confirmation;
    }

    void start() {
        lastAnswerMillis = clocks.nowMillis();
        control.schedule(this::readAll);
        control.schedulePeriodically(this::expire, EXPIRE_MILLIS, EXPIRE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void expire() {
        if (state.expire(clocks.nowMillis())) {
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
        OrderTurn.Moment sentAt = clocks.now();
        run(store.range(decoder.followedPrefix()), range -> onRange(range, sentAt), this::readAll);
    }

    private void onRange(Range range, OrderTurn.Moment sentAt) {
        onAnswer();
        state.onRange(range.items(), range.revision(), clocks.nowMillis());
        confirm(sentAt);
        publish();
        watch();
    }

    /** Takes what a hub told. */
    void onFed(FeedMessages.Answer answer, OrderTurn.Moment askedAt) {
        control.schedule(() -> {
            onAnswer();
            state.onContactBack(clocks.nowMillis() - answer.contactBackAgeMillis());
            state.onChanges(
                    answer.items().stream().map(FeedMessages.Item::decode).toList(),
                    answer.revision(),
                    clocks.nowMillis());
            confirm(askedAt.plus(answer.heldMillis() - answer.confirmedAgeMillis()));
            publish();
        });
    }

    private void watch() {
        if (listener.isFed()) {
            listener.onLost();
            control.schedule(this::watch, FED_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        OrderTurn.Moment sentAt = clocks.now();
        Mono<Optional<Changes>> watch = store.watch(decoder.followedPrefix(), view.revision(), WATCH_MILLIS);
        run(watch, changes -> onWatched(changes, sentAt), this::watch);
    }

    private void onWatched(Optional<Changes> changes, OrderTurn.Moment sentAt) {
        onAnswer();
        if (changes.isEmpty()) {
            log.state(LogFields.event("history of the metadata store is gone; reading everything")
                    .field("revision", view.revision()));
            listener.onLost();
            readAll();
            return;
        }
        boolean quiet = changes.get().items().isEmpty();
        long fromRevision = view.revision();
        state.onChanges(changes.get().items(), changes.get().revision(), clocks.nowMillis());
        // A watch that saw no change was answered at the end of its wait, not before.
        long waitedMillis = Math.min(WATCH_MILLIS, clocks.nowMillis() - sentAt.monotonicMillis());
        Confirmation confirmed = confirm(quiet ? sentAt.plus(waitedMillis - waitedMillis / 10) : sentAt);
        publish();
        listener.onChanges(fromRevision, changes.get(), confirmed, state.contactBackMillis());
        if (quiet) {
            watch();
        } else {
            long pause = PAUSE_MILLIS_PER_NODE * view.nodes().size();
            control.schedule(this::watch, Math.min(MAX_CHANGE_PAUSE_MILLIS, pause), TimeUnit.MILLISECONDS);
        }
    }

    private Confirmation confirm(OrderTurn.Moment at) {
        Confirmation next = new Confirmation(at.monotonicMillis(), at.wallMillis());
        long known = confirmation.map(Confirmation::monotonicMillis).orElse(Long.MIN_VALUE);
        if (next.monotonicMillis() >= known) {
            confirmation = Optional.of(next);
        }
        return next;
    }

    private void publish() {
        view = state.view();
        listener.onView(view);
    }

    private void onAnswer() {
        if (!connected) {
            log.state(LogFields.event("metadata store reached")
                    .field("awayMillis", clocks.nowMillis() - lastAnswerMillis));
            if (view.revision() > 0) {
                state.onContactBack(clocks.nowMillis());
            }
        }
        connected = true;
        pauseMillis = MIN_PAUSE_MILLIS;
        lastAnswerMillis = clocks.nowMillis();
    }

    private <T> void run(Mono<T> mono, Consumer<T> then, Runnable again) {
        if (stopped) {
            return;
        }
        call = mono.publishOn(control).subscribe(then, error -> onError(error, again));
    }

    private void onError(Throwable error, Runnable again) {
        if (connected) {
            log.state(LogFields.event("metadata store lost").error(error));
        }
        connected = false;
        listener.onLost();
        control.schedule(again, pauseMillis, TimeUnit.MILLISECONDS);
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, pauseMillis * 2);
    }
}
