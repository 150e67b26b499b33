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
 * Follows the metadata store with one watch over everything. Each answer also confirms that no newer configuration
 * exists, so the watch returns often enough for the revocation bound even if nothing changes.
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

    /** How often registrations that did not return are given up. */
    static final long EXPIRE_MILLIS = 150;

    private final MetadataStore store;
    private final PlatformDecoder decoder;
    private final PlatformState state;
    private final Clocks clocks;
    private final Scheduler control;
    private final DecisionLog log;
    private final Consumer<PlatformView> onView;
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
            Consumer<PlatformView> onView) {
        this.store = store;
        this.decoder = decoder;
        this.state = state;
        this.clocks = clocks;
        this.control = control;
        this.log = log;
        this.onView = onView;
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

    private void watch() {
        OrderTurn.Moment sentAt = clocks.now();
        Mono<Optional<Changes>> watch = store.watch(decoder.followedPrefix(), view.revision(), WATCH_MILLIS);
        run(watch, changes -> onWatched(changes, sentAt), this::watch);
    }

    private void onWatched(Optional<Changes> changes, OrderTurn.Moment sentAt) {
        onAnswer();
        if (changes.isEmpty()) {
            log.state(LogFields.event("history of the metadata store is gone; reading everything")
                    .field("revision", view.revision()));
            readAll();
            return;
        }
        boolean quiet = changes.get().items().isEmpty();
        state.onChanges(changes.get().items(), changes.get().revision(), clocks.nowMillis());
        // A watch that saw no change was answered at the end of its wait, not before.
        long waitedMillis = Math.min(WATCH_MILLIS, clocks.nowMillis() - sentAt.monotonicMillis());
        confirm(quiet ? sentAt.plus(waitedMillis - waitedMillis / 10) : sentAt);
        publish();
        if (quiet) {
            watch();
        } else {
            long pause = PAUSE_MILLIS_PER_NODE * view.nodes().size();
            control.schedule(this::watch, Math.min(MAX_CHANGE_PAUSE_MILLIS, pause), TimeUnit.MILLISECONDS);
        }
    }

    private void confirm(OrderTurn.Moment at) {
        Confirmation next = new Confirmation(at.monotonicMillis(), at.wallMillis());
        long known = confirmation.map(Confirmation::monotonicMillis).orElse(Long.MIN_VALUE);
        if (next.monotonicMillis() >= known) {
            confirmation = Optional.of(next);
        }
    }

    private void publish() {
        view = state.view();
        onView.accept(view);
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
        control.schedule(again, pauseMillis, TimeUnit.MILLISECONDS);
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, pauseMillis * 2);
    }
}
