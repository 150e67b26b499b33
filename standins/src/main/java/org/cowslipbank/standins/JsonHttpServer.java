package org.cowslipbank.standins;

import java.io.IOException;
import java.util.function.Consumer;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.cowslipbank.adapters.TokenLineCodec;
import org.cowslipbank.adapters.WireJson;
import org.cowslipbank.ports.EngineEvent;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;
import reactor.netty.resources.LoopResources;

/** HTTP server with JSON routes. Closing it cuts all connections, as a crash would. */
final class JsonHttpServer {
    private static final byte[] NEWLINE = {'\n'};
    private static final long CLOSE_WAIT_MILLIS = 1_000;
    private static final int LOOP_THREADS = 4;
    // Separate threads, so that stand-ins do not delay a node in the same process.
    private static final LoopResources LOOPS = LoopResources.create("standin", LOOP_THREADS, true);

    private final DisposableServer server;
    private final ChannelGroup channels = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);

    JsonHttpServer(String host, int port, Consumer<HttpServerRoutes> routes) {
        server = HttpServer.create()
                .runOn(LOOPS)
                .host(host)
                .port(port)
                .doOnConnection(connection -> channels.add(connection.channel()))
                .route(routes)
                .bindNow();
    }

    String address() {
        return server.host() + ":" + server.port();
    }

    void close() {
        server.channel().close().awaitUninterruptibly(CLOSE_WAIT_MILLIS);
        channels.close().awaitUninterruptibly(CLOSE_WAIT_MILLIS);
    }

    /** Closes all open connections without sending a response; new connections are accepted. */
    void cutConnections() {
        channels.close();
    }

    static <I> void post(
            HttpServerRoutes routes, String path, Class<I> type, Function<I, ? extends Publisher<?>> handler) {
        routes.post(path, (request, response) -> readBody(request, type)
                .flatMap(input -> Mono.from(handler.apply(input)))
                .flatMap(output -> response.header("content-type", "application/json")
                        .sendByteArray(Mono.just(WireJson.write(output)))
                        .then())
                .onErrorResume(StatusException.class, error -> response.status(error.status())
                        .send()));
    }

    static <I> void postForLines(HttpServerRoutes routes, String path, Class<I> type, Function<I, Flux<?>> handler) {
        routes.post(path, (request, response) -> readBody(request, type)
                .flatMap(input -> sendLines(response, handler.apply(input)))
                .onErrorResume(StatusException.class, error -> response.status(error.status())
                        .send()));
    }

    static Mono<Void> sendLines(HttpServerResponse response, Flux<?> lines) {
        Flux<ByteBuf> buffers = lines.map(line -> encode(line));
        return response.header("content-type", "application/x-ndjson")
                .send(buffers, buffer -> true)
                .then();
    }

    // Tokens are by far the most frequent lines, so they have a faster encoder.
    private static ByteBuf encode(Object line) {
        return line instanceof EngineEvent.Token token
                ? Unpooled.wrappedBuffer(TokenLineCodec.write(token))
                : Unpooled.wrappedBuffer(WireJson.write(line), NEWLINE);
    }

    static <I> Mono<I> readBody(HttpServerRequest request, Class<I> type) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .flatMap(bytes -> {
                    try {
                        return Mono.just(WireJson.read(bytes, type));
                    } catch (IOException e) {
                        return Mono.error(new StatusException(400));
                    }
                });
    }
}
