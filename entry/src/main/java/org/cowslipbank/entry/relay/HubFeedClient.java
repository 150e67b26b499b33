package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.FeedMessages.PollAnswer;
import org.cowslipbank.entry.relay.FeedMessages.PollRequest;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.ports.BoundedBytes;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.LoopResources;

/**
 * Polls this node's hub for changes of the metadata store and the cache stores. While the hub does not answer, the node
 * reads the metadata store directly. Runs on the traffic thread.
 */
final class HubFeedClient {
    /** Path of polls on a hub's feed address. */
    static final String FEED_PATH = "/feed";

    /** Header by which a member says that it reads the ages of cache stores; hubs of earlier releases ignore it. */
    static final String STORE_AGES_HEADER = "Feed-Store-Ages";

    /** Pause between polls; limits the calls to a hub that has many changes. */
    static final long POLL_PAUSE_MILLIS = 250;

    /**
     * Pause between polls while the node has no request; it then needs no newest parts of the cache stores, and a change of
     * the configuration is still in force within 2 s.
     */
    static final long IDLE_POLL_PAUSE_MILLIS = 750;

    /**
     * How long the node reads the metadata store directly after a failed poll; a dead hub's registration has expired by
     * then.
     */
    static final long STORE_FALLBACK_MILLIS = 2_000;

    /**
     * How long it does so after the hub no longer had all changes since its revision; one answer of the metadata store
     * closes the gap.
     */
    static final long HISTORY_GAP_FALLBACK_MILLIS = 300;

    /** How often a node that reads the metadata store directly checks whether it has a hub. */
    static final long HUB_CHECK_MILLIS = 200;

    /** Limit on a poll: the time for which the hub may hold it, and 500 ms for the transfer. */
    private static final Duration POLL_TIMEOUT = Duration.ofMillis(HubFeed.MAX_HOLD_MILLIS + 500);

    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    /** Longest answer of a hub; it passes on what the metadata store and the cache stores tell. */
    private static final int MAX_ANSWER_BYTES = 8 << 20;

    private static final int HTTP_OK = 200;
    /** Status if the hub no longer has every change since the member's revision. */
    static final int HTTP_GONE = 410;

    private final Supplier<PlatformView> view;
    private final String self;
    private final EventLoop loop;
    private final Clocks clocks;
    private final DecisionLog log;
    private final Handlers handlers;
    private final HttpClient client;
    private volatile String hub = "";
    private long fallbackUntilMillis;

    /**
     * Supplies the contents of polls and receives the answers.
     *
     * @param cacheCursors returns the position in the changes of each cache store
     * @param onMetadata receives the metadata store's part of an answer, and when its poll was sent
     * @param onCacheStores receives the cache stores' part of an answer, and when its poll was sent
     * @param hasRequests returns whether the node is serving requests
     */
    record Handlers(
            CacheCursors cacheCursors,
            MetadataHandler onMetadata,
            CacheStoresHandler onCacheStores,
            BooleanSupplier hasRequests) {}

    /** Returns the next change number of each cache store at a hub, by name of the store. */
    @FunctionalInterface
    interface CacheCursors {
        Map<String, Long> at(String hub);
    }

    /** Receives changes of the metadata store. */
    @FunctionalInterface
    interface MetadataHandler {
        void accept(PollAnswer answer, LeaderLease.ClockReading sentAt);
    }

    /** Receives changes of the cache stores. */
    @FunctionalInterface
    interface CacheStoresHandler {
        void accept(String hub, PollRequest poll, PollAnswer answer, LeaderLease.ClockReading sentAt);
    }

    HubFeedClient(
            Supplier<PlatformView> view,
            String self,
            LoopResources loops,
            EventLoop loop,
            Clocks clocks,
            DecisionLog log,
            Handlers handlers) {
        this.view = view;
        this.self = self;
        this.loop = loop;
        this.clocks = clocks;
        this.log = log;
        this.handlers = handlers;
        this.client =
                HttpClient.create().runOn(loops).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    void start() {
        loop.execute(this::pollNext);
    }

    /**
     * Returns whether changes come from a hub.
     *
     * @return false if this node has to read the metadata store directly
     */
    boolean followsHub() {
        return !hub.isEmpty();
    }

    private void pollNext() {
        Optional<RegisteredNode> node = findHub();
        String name = node.map(RegisteredNode::name).orElse("");
        if (!name.equals(hub)) {
            log.logState(LogFields.event("source of changes")
                    .field("hub", name.isEmpty() ? "none" : name)
                    .field("storeRevision", view.get().revision()));
            hub = name;
        }
        if (node.isPresent()) {
            poll(node.get());
        } else {
            loop.schedule(this::pollNext, HUB_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns whether this node is a member of another node's group.
     *
     * @return true if it has a hub, even one that does not answer
     */
    boolean hasHub() {
        return !view.get().tree().hubOf(self).equals(self);
    }

    private Optional<RegisteredNode> findHub() {
        PlatformView platform = view.get();
        String name = platform.tree().hubOf(self);
        if (platform.revision() == 0 || !hasHub() || clocks.nowMillis() < fallbackUntilMillis) {
            return Optional.empty();
        }
        return Optional.ofNullable(platform.nodes().get(name))
                .filter(node -> !node.feedAddress().isEmpty());
    }

    private void poll(RegisteredNode node) {
        LeaderLease.ClockReading sentAt = clocks.now();
        PollRequest poll =
                new PollRequest(view.get().revision(), handlers.cacheCursors().at(node.name()));
        send(node.feedAddress(), poll)
                .subscribe(
                        answer -> loop.execute(() -> onAnswer(node.name(), poll, answer, sentAt)),
                        error -> loop.execute(() -> onPollFailed(error)));
    }

    private Mono<Optional<PollAnswer>> send(String address, PollRequest poll) {
        return client.headers(headers -> headers.set(STORE_AGES_HEADER, "1"))
                .post()
                .uri("http://" + address + FEED_PATH)
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(FeedMessages.encode(poll))))
                .response((response, body) -> BoundedBytes.collect(body.asByteArray(), MAX_ANSWER_BYTES)
                        .flatMap(bytes -> decode(address, response.status().code(), bytes)))
                .single()
                .timeout(POLL_TIMEOUT)
                .onErrorMap(
                        error -> !(error instanceof PeerException),
                        error -> new PeerException(
                                ProcessingStep.PEER, address, RunState.UNKNOWN, String.valueOf(error), error));
    }

    /** Returns an empty answer if the hub no longer has the requested changes. */
    private static Mono<Optional<PollAnswer>> decode(String address, int status, byte[] bytes) {
        if (status == HTTP_GONE) {
            return Mono.just(Optional.empty());
        }
        if (status != HTTP_OK) {
            return Mono.error(new PeerException(
                    ProcessingStep.PEER, address, RunState.NOT_RUN, "hub answered poll with HTTP status " + status));
        }
        try {
            return Mono.just(Optional.of(FeedMessages.decodePollAnswer(bytes)));
        } catch (IOException e) {
            return Mono.error(new PeerException(
                    ProcessingStep.PEER,
                    address,
                    RunState.UNKNOWN,
                    "cannot decode poll answer of hub: " + e.getMessage(),
                    e));
        }
    }

    private void onAnswer(String from, PollRequest poll, Optional<PollAnswer> answer, LeaderLease.ClockReading sentAt) {
        if (answer.isEmpty()) {
            fallBackToStore(HISTORY_GAP_FALLBACK_MILLIS);
            return;
        }
        // Without the guard, an error would end the polls, while the node does not read the metadata store either.
        new GuardedTask("hub answer", () -> deliver(from, poll, answer.get(), sentAt), log).run();
        long pauseMillis = handlers.hasRequests().getAsBoolean() ? POLL_PAUSE_MILLIS : IDLE_POLL_PAUSE_MILLIS;
        loop.schedule(this::pollNext, pauseMillis, TimeUnit.MILLISECONDS);
    }

    private void deliver(String from, PollRequest poll, PollAnswer answer, LeaderLease.ClockReading sentAt) {
        handlers.onMetadata().accept(answer, sentAt);
        handlers.onCacheStores().accept(from, poll, answer, sentAt);
    }

    private void onPollFailed(Throwable error) {
        log.logState(LogFields.event("hub has no answer; asking the metadata store")
                .field("hub", hub)
                .error(error));
        fallBackToStore(STORE_FALLBACK_MILLIS);
    }

    private void fallBackToStore(long forMillis) {
        fallbackUntilMillis = clocks.nowMillis() + forMillis;
        pollNext();
    }
}
