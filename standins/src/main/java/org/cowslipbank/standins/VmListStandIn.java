package org.cowslipbank.standins;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.cowslipbank.adapters.WireJson;
import org.cowslipbank.ports.VmEntry;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerRoutes;

/** Stand-in for the platform's VM list, which shows changes after a lag. */
public final class VmListStandIn implements StandIn {
    private final AtomicReference<List<VmEntry>> shown = new AtomicReference<>(List.of());
    private final JsonHttpServer server;
    private final Duration lag;

    /**
     * Starts the stand-in.
     *
     * @param host the IP address to listen on
     * @param port the port, zero for any
     * @param lagMillis how long a change takes to show, in milliseconds
     */
    public VmListStandIn(String host, int port, long lagMillis) {
        lag = Duration.ofMillis(lagMillis);
        server = new JsonHttpServer(host, port, this::addRoutes);
    }

    /**
     * Replaces the list; readers see it after the lag.
     *
     * @param entries the VMs
     */
    public void publish(List<VmEntry> entries) {
        List<VmEntry> copy = List.copyOf(entries);
        if (lag.isZero()) {
            shown.set(copy);
            return;
        }
        Mono.delay(lag, Schedulers.parallel()).subscribe(tick -> shown.set(copy));
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
                .sendByteArray(Mono.fromSupplier(() -> WireJson.write(shown.get()))));
    }
}
