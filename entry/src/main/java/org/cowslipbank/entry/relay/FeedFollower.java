package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.OrderTurn;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.FeedMessages.Answer;
import org.cowslipbank.entry.relay.FeedMessages.Question;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.LoopResources;

/**
 * Asks this node's hub what changed, in place of the metadata store and the cache stores. While the hub has no answer
 * the node asks the metadata store itself. Runs on the traffic thread.
 */
final class FeedFollower {
    /** Path of questions on a hub's feed address. */
    static final String PATH = "/feed";

    /** Pause between questions, so that a hub with many changes is not asked for each one. */
    static final long PAUSE_MILLIS = 250;

    /** How long a node asks the store itself after its hub had no answer: a dead hub's registration ends by then. */
    static final long DIRECT_MILLIS = 2_000;

    /** How long it does so after its hub did not know the changes since its revision: one answer tells them. */
    static final long GAP_MILLIS = 300;

    /** How often a node that asks the store itself looks whether it has a hub. */
    static final long CHECK_MILLIS = 200;

    /** How long an answer may take beyond the time for which the hub holds the question. */
    private static final Duration TIMEOUT = Duration.ofMillis(FleetFeed.WAIT_MILLIS + 500);

    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int OK = 200;
    /** A hub does not know the changes since the member's revision one by one, or not all of them. */
    static final int GONE = 410;

    private final Supplier<PlatformView> view;
    private final String self;
    private final EventLoop loop;
    private final Clocks clocks;
    private final DecisionLog log;
    private final Handlers handlers;
    private final HttpClient client;
    private volatile String hub = "";
    private long directUntilMillis;

    /**
     * Where questions come from and answers go.
     *
     * @param cacheNumbers tells where to go on, by name of the cache store, when a hub is asked
     * @param onPlatform takes the part of an answer that concerns the metadata store, and the moment of its question
     * @param onStores takes the part that concerns the cache stores
     */
    record Handlers(CacheNumbers cacheNumbers, PlatformHandler onPlatform, StoresHandler onStores) {}

    /** Tells where to go on. */
    @FunctionalInterface
    interface CacheNumbers {
        Map<String, Long> of(String hub);
    }

    /** Takes changes of the metadata store. */
    @FunctionalInterface
    interface PlatformHandler {
        void accept(Answer answer, OrderTurn.Moment askedAt);
    }

    /** Takes changes of the cache stores. */
    @FunctionalInterface
    interface StoresHandler {
        void accept(String hub, Question question, Answer answer);
    }

    FeedFollower(
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
        loop.execute(this::next);
    }

    /**
     * Tells whether a hub is asked in place of the metadata store.
     *
     * @return false if this node has to ask the store itself
     */
    boolean isFed() {
        return !hub.isEmpty();
    }

    private void next() {
        Optional<RegisteredNode> node = hubToAsk();
        String name = node.map(RegisteredNode::name).orElse("");
        if (!name.equals(hub)) {
            log.state(LogFields.event("source of changes").field("hub", name.isEmpty() ? "none" : name));
            hub = name;
        }
        if (node.isPresent()) {
            ask(node.get());
        } else {
            loop.schedule(this::next, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Tells whether this node is a member of another one's group.
     *
     * @return true if it is, even while the hub has no answer
     */
    boolean hasHub() {
        return !view.get().tree().hubOf(self).equals(self);
    }

    private Optional<RegisteredNode> hubToAsk() {
        PlatformView now = view.get();
        String name = now.tree().hubOf(self);
        if (now.revision() == 0 || !hasHub() || clocks.nowMillis() < directUntilMillis) {
            return Optional.empty();
        }
        return Optional.ofNullable(now.nodes().get(name))
                .filter(node -> !node.feedAddress().isEmpty());
    }

    private void ask(RegisteredNode node) {
        OrderTurn.Moment askedAt = clocks.now();
        Question question =
                new Question(view.get().revision(), handlers.cacheNumbers().of(node.name()));
        send(node.feedAddress(), question)
                .subscribe(
                        answer -> loop.execute(() -> onAnswer(node.name(), question, answer, askedAt)),
                        error -> loop.execute(() -> onFailed(error)));
    }

    private Mono<Optional<Answer>> send(String address, Question question) {
        return client.post()
                .uri("http://" + address + PATH)
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(FeedMessages.encode(question))))
                .responseSingle((response, body) -> body.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .flatMap(bytes -> decode(address, response.status().code(), bytes)))
                .timeout(TIMEOUT)
                .onErrorMap(
                        error -> !(error instanceof PeerException),
                        error -> new PeerException(Step.PEER, address, RunState.UNKNOWN, String.valueOf(error), error));
    }

    /** Returns an empty answer if the hub does not know the changes that were asked for. */
    private static Mono<Optional<Answer>> decode(String address, int status, byte[] bytes) {
        if (status == GONE) {
            return Mono.just(Optional.empty());
        }
        if (status != OK) {
            return Mono.error(
                    new PeerException(Step.PEER, address, RunState.NOT_RUN, "answered with HTTP status " + status));
        }
        try {
            return Mono.just(Optional.of(FeedMessages.decodeAnswer(bytes)));
        } catch (IOException e) {
            return Mono.error(
                    new PeerException(Step.PEER, address, RunState.UNKNOWN, "unreadable answer: " + e.getMessage(), e));
        }
    }

    private void onAnswer(String from, Question question, Optional<Answer> answer, OrderTurn.Moment askedAt) {
        if (answer.isEmpty()) {
            askStore(GAP_MILLIS);
            return;
        }
        handlers.onPlatform().accept(answer.get(), askedAt);
        handlers.onStores().accept(from, question, answer.get());
        loop.schedule(this::next, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onFailed(Throwable error) {
        log.state(LogFields.event("hub has no answer; asking the metadata store")
                .field("hub", hub)
                .error(error));
        askStore(DIRECT_MILLIS);
    }

    private void askStore(long forMillis) {
        directUntilMillis = clocks.nowMillis() + forMillis;
        next();
    }
}
