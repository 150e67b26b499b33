package org.cowslipbank.entry.relay;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.WaitingLine;

/** Tries the requests that found no upstream again, in the order of the waiting line. Runs on the traffic thread. */
final class WaitingRequests {
    /** How often the line is tried; engines free room every 100 ms or so. */
    static final long TRY_MILLIS = 20;

    private final WaitingLine<Exchange> line = new WaitingLine<>();
    private final EventLoop loop;
    private final Clocks clocks;
    private boolean scheduled;

    WaitingRequests(EventLoop loop, Clocks clocks) {
        this.loop = loop;
        this.clocks = clocks;
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
    }

    int size() {
        return line.size();
    }

    private void tryAll() {
        long nowMillis = clocks.nowMillis();
        for (Exchange exchange : line.order(nowMillis)) {
            boolean over = line.isOver(exchange, nowMillis);
            if (exchange.tryWaiting(over)) {
                line.remove(exchange);
            }
        }
        scheduled = !line.isEmpty();
        if (scheduled) {
            loop.schedule(this::tryAll, TRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
