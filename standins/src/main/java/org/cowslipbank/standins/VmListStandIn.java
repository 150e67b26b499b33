package org.cowslipbank.standins;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.cowslipbank.adapters.WireJson;
import org.cowslipbank.ports.VmEntry;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerRoutes;

/** Stand-in for the platform's VM list. Readers see a change after a configurable delay. */
public final class VmListStandIn implements StandIn {
    private final AtomicReference<List<VmEntry>> visibleEntries = new AtomicReference<>(List.of());
    private final JsonHttpServer server;
    private final Duration lag;

    /**
     * Starts the stand-in.
     *
     * @param host the IP address to listen on
     * @param port the port, zero for any
     * @param lagMillis delay until readers see a change, in milliseconds
     */
    public VmListStandIn(String host, int port, long lagMillis) {
        lag = Duration.ofMillis(lagMillis);
        server = new JsonHttpServer(host, port, this::addRoutes);
    }

    /**
     * Replaces the list; readers see the new one after the delay.
     *
     * @param entries all VMs
     */
    public void publish(List<VmEntry> entries) {
        List<VmEntry> copy = List.copyOf(entries);
        if (lag.isZero()) {
            visibleEntries.set(copy);
            return;
        }
        Mono.delay(lag, Schedulers.parallel()).subscribe(tick -> visibleEntries.set(copy));
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
        routes.get("/vms", (request, response) -> response.header("content-type", "application/json")
                .sendByteArray(Mono.fromSupplier(() -> WireJson.write(visibleEntries.get()))));
    }
}
