package org.cowslipbank.entry.relay;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.decision.relay.WaitingLine;

/** Tries the requests that found no upstream again, in the order of the waiting line. Runs on the traffic thread. */
final class WaitingRequests {
    /** How often the line is tried; engines free room every 100 ms or so. */
    static final long TRY_MILLIS = 20;

    private final WaitingLine<Exchange> line = new WaitingLine<>();
    private final EventLoop loop;
    private final Clocks clocks;
    private final UpstreamLoads loads;
    private Optional<Booking> booking = Optional.empty();
    private boolean scheduled;

    /** Room that is kept for the one waiting request whose turn it is. */
    private record Booking(Exchange exchange, String incarnation, int tokens) {}

    WaitingRequests(EventLoop loop, Clocks clocks, UpstreamLoads loads) {
        this.loop = loop;
        this.clocks = clocks;
        this.loads = loads;
    }

    void add(Exchange exchange, WaitingLine.Times times) {
        line.add(exchange, times);
        if (!scheduled) {
            scheduled = true;
            loop.schedule(this::tryAll, TRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    void remove(Exchange exchange) {
        line.remove(exchange);
        release(exchange);
    }

    /**
     * Returns the tokens for which an upstream keeps room for a request.
     *
     * @param exchange the request
     * @param incarnation the upstream
     * @return the tokens, zero without a booking there
     */
    int booked(Exchange exchange, String incarnation) {
        return booking.filter(kept -> kept.exchange() == exchange)
                .filter(kept -> kept.incarnation().equals(incarnation))
                .map(Booking::tokens)
                .orElse(0);
    }

    private void release(Exchange exchange) {
        booking.filter(kept -> kept.exchange() == exchange).ifPresent(kept -> {
            loads.book(kept.incarnation(), -kept.tokens());
            booking = Optional.empty();
        });
    }

    private void book(Exchange exchange, int tokens) {
        exchange.booking().ifPresent(server -> {
            loads.book(server.incarnation(), tokens);
            booking = Optional.of(new Booking(exchange, server.incarnation(), tokens));
        });
    }

    int size() {
        return line.size();
    }

    private void tryAll() {
        long nowMillis = clocks.nowMillis();
        for (Exchange exchange : line.order(nowMillis)) {
            boolean over = line.isOver(exchange, nowMillis);
            if (exchange.tryWaiting(over)) {
                remove(exchange);
            } else if (booking.isEmpty()) {
                book(exchange, exchange.promptTokens());
            }
        }
        scheduled = !line.isEmpty();
        if (scheduled) {
            loop.schedule(this::tryAll, TRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
