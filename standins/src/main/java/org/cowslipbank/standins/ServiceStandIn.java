package org.cowslipbank.standins;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** Stand-in for a plain service. It counts how often each order ran; the request body identifies an order. */
public final class ServiceStandIn implements StandIn {
    private final Map<String, Integer> runsByOrder = new ConcurrentHashMap<>();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final JsonHttpServer server;

    /**
     * Starts the stand-in.
     *
     * @param host the IP address to listen on
     * @param port the port, zero for any
     */
    public ServiceStandIn(String host, int port) {
        server = new JsonHttpServer(host, port, this::addRoutes);
    }

    /**
     * Returns the number of runs of each order.
     *
     * @return number of runs by request body
     */
    public Map<String, Integer> runsByOrder() {
        return Map.copyOf(runsByOrder);
    }

    /**
     * Makes the next orders run but closes all connections before the answer is sent.
     *
     * @param count number of orders whose answer is lost
     */
    public void loseAnswers(int count) {
        answersToLose.set(count);
    }

    @Override
    public String address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private void addRoutes(HttpServerRoutes routes) {
        routes.get(
                "/catalogue/{item}",
                (request, response) ->
                        response.sendString(Mono.just("{\"item\":\"" + request.param("item") + "\",\"stock\":12}")));
        routes.post("/orders", this::runOrder);
    }

    private Mono<Void> runOrder(HttpServerRequest request, HttpServerResponse response) {
        return request.receive().aggregate().asString(StandardCharsets.UTF_8).flatMap(order -> {
            int runs = runsByOrder.merge(order, 1, Integer::sum);
            if (answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                server.cutConnections();
                return Mono.never();
            }
            String answer = "{\"order\":\"" + Integer.toHexString(order.hashCode()) + "\",\"run\":" + runs + "}";
            return response.header("content-type", "application/json")
                    .sendString(Mono.just(answer))
                    .then();
        });
    }
}
