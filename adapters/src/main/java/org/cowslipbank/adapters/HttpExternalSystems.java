package org.cowslipbank.adapters;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;

import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.ports.Engine;
import org.cowslipbank.ports.ExternalSystems;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.PlainService;
import org.cowslipbank.ports.Store;
import org.cowslipbank.ports.VmEntry;
import org.cowslipbank.ports.VmList;
import reactor.netty.resources.ConnectionProvider;

/** Clients of all external systems, over HTTP with JSON bodies and one shared connection pool. */
public final class HttpExternalSystems implements ExternalSystems, AutoCloseable {
    private static final int MAX_CONNECTIONS_PER_ADDRESS = 4_000;
    // A NAT or firewall may silently drop a connection's state, so connections are replaced after this time.
    private static final Duration MAX_CONNECTION_AGE = Duration.ofMinutes(5);
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(30);
    private static final Duration SERVICE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration VM_LIST_TIMEOUT = Duration.ofSeconds(2);

    private final ConnectionProvider connections;
    private final String keyValueAddress;
    private final String vmListAddress;
    private final Function<StoreId, String> storeAddresses;

    /**
     * Creates the clients without connecting yet.
     *
     * @param keyValueAddress address of the key-value service as {@code IP:port}
     * @param vmListAddress address of the VM list as {@code IP:port}
     * @param storeAddresses looks up the address of a store as {@code IP:port}
     */
    public HttpExternalSystems(String keyValueAddress, String vmListAddress, Function<StoreId, String> storeAddresses) {
        this.keyValueAddress = keyValueAddress;
        this.vmListAddress = vmListAddress;
        this.storeAddresses = storeAddresses;
        this.connections = ConnectionProvider.builder("outside")
                .maxConnections(MAX_CONNECTIONS_PER_ADDRESS)
                .pendingAcquireMaxCount(-1)
                .maxLifeTime(MAX_CONNECTION_AGE)
                .maxIdleTime(MAX_IDLE_TIME)
                .build();
    }

    @Override
    public KeyValueStore keyValueStore() {
        return new HttpKeyValueStore(createClient(keyValueAddress, ProcessingStep.KEY_VALUE));
    }

    @Override
    public VmList vmList() {
        JsonHttpClient http = createClient(vmListAddress, ProcessingStep.VM_LIST);
        return () -> http.get("/vms", VmEntry[].class, VM_LIST_TIMEOUT).map(List::of);
    }

    @Override
    public Engine engine(String address) {
        return new HttpEngine(createClient(address, ProcessingStep.GENERATE), storeAddresses);
    }

    @Override
    public Store store(String address) {
        return new HttpStore(createClient(address, ProcessingStep.FETCH));
    }

    @Override
    public PlainService service(String address) {
        JsonHttpClient http = createClient(address, ProcessingStep.SERVICE_CALL);
        return call -> http.exchange(call.method(), call.path(), call.contentType(), call.body(), SERVICE_TIMEOUT);
    }

    @Override
    public void close() {
        connections.dispose();
    }

    private JsonHttpClient createClient(String address, ProcessingStep step) {
        return new JsonHttpClient(connections, address, step);
    }
}
