package org.cowslipbank.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.cowslipbank.adapters.KeyValueWire;
import org.cowslipbank.ports.CasResult;
import org.cowslipbank.ports.Lease;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerRoutes;

/** Stand-in for the platform's key-value service, with watches and leases. */
public final class KeyValueStandIn implements StandIn {
    private final KeyValueFaults faults = new KeyValueFaults();
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<String, List<MonoSink<Boolean>>> watchers = new HashMap<>();
    private final Map<String, LeaseEntry> leases = new HashMap<>();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final JsonHttpServer server;
    private long nextFencingToken = 1;

    /**
     * Starts the stand-in.
     *
     * @param host the IP address to listen on
     * @param port the port, zero for any
     */
    public KeyValueStandIn(String host, int port) {
        server = new JsonHttpServer(host, port, this::addRoutes);
    }

    /**
     * Returns the fault injection switches.
     *
     * @return the switches
     */
    public KeyValueFaults faults() {
        return faults;
    }

    /**
     * Returns the number of reads and watches so far.
     *
     * @return the count
     */
    public long reads() {
        return reads.get();
    }

    /**
     * Returns the number of writes and lease calls so far.
     *
     * @return the count
     */
    public long writes() {
        return writes.get();
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
        JsonHttpServer.post(routes, "/kv/get", KeyValueWire.ReadCall.class, call -> read(() -> get(call.key())));
        JsonHttpServer.post(routes, "/kv/watch", KeyValueWire.ReadCall.class, this::watch);
        JsonHttpServer.post(routes, "/kv/list", KeyValueWire.ListKeysCall.class, call -> read(() -> list(call)));
        JsonHttpServer.post(routes, "/kv/cas", KeyValueWire.WriteCall.class, call -> write(() -> compareAndSwap(call)));
        JsonHttpServer.post(routes, "/kv/delete", KeyValueWire.WriteCall.class, call -> write(() -> delete(call)));
        JsonHttpServer.post(
                routes, "/kv/lease/acquire", KeyValueWire.LeaseCall.class, call -> write(() -> acquire(call)));
        JsonHttpServer.post(
                routes, "/kv/lease/release", KeyValueWire.LeaseCall.class, call -> write(() -> release(call)));
        JsonHttpServer.post(routes, "/faults", FaultCall.class, this::setFaults);
    }

    private Mono<KeyValueWire.Acknowledgement> setFaults(FaultCall call) {
        faults.setDown(call.down());
        faults.setDelayMillis(call.delayMillis());
        faults.setLosingAnswers(call.losingAnswers());
        return Mono.just(new KeyValueWire.Acknowledgement(true));
    }

    private <T> Mono<T> read(Supplier<T> action) {
        reads.incrementAndGet();
        return withFaults(Mono.fromSupplier(action));
    }

    private <T> Mono<T> write(Supplier<T> action) {
        writes.incrementAndGet();
        return withFaults(Mono.fromSupplier(action)).flatMap(this::loseAnswerIfFaulty);
    }

    private <T> Mono<T> withFaults(Mono<T> action) {
        if (faults.isDown()) {
            return Mono.error(new StatusException(503));
        }
        long delayMillis = faults.delayMillis();
        if (delayMillis == 0) {
            return action;
        }
        return Mono.delay(Duration.ofMillis(delayMillis), Schedulers.parallel()).then(action);
    }

    private <T> Mono<T> loseAnswerIfFaulty(T answer) {
        if (!faults.isLosingAnswers()) {
            return Mono.just(answer);
        }
        server.cutConnections();
        return Mono.never();
    }

    private Mono<KeyValueWire.ReadResponse> watch(KeyValueWire.ReadCall call) {
        reads.incrementAndGet();
        return withFaults(Mono.defer(() -> waitForChange(call)));
    }

    private Mono<KeyValueWire.ReadResponse> waitForChange(KeyValueWire.ReadCall call) {
        Mono<Boolean> changed = Mono.create(sink -> addWatcher(call, sink));
        return changed.timeout(Duration.ofMillis(Math.max(1, call.waitMillis())), Mono.just(false))
                .map(ignored -> get(call.key()));
    }

    private synchronized void addWatcher(KeyValueWire.ReadCall call, MonoSink<Boolean> sink) {
        if (versionOf(call.key()) != call.knownVersion()) {
            sink.success(true);
            return;
        }
        watchers.computeIfAbsent(call.key(), key -> new ArrayList<>()).add(sink);
        sink.onDispose(() -> removeWatcher(call.key(), sink));
    }

    private synchronized void removeWatcher(String key, MonoSink<Boolean> sink) {
        List<MonoSink<Boolean>> waiting = watchers.get(key);
        if (waiting != null) {
            waiting.remove(sink);
        }
    }

    private synchronized KeyValueWire.ReadResponse get(String key) {
        Entry entry = entries.get(key);
        return entry == null
                ? new KeyValueWire.ReadResponse(false, 0, new byte[0])
                : new KeyValueWire.ReadResponse(true, entry.version(), entry.value());
    }

    private synchronized KeyValueWire.ListKeysResponse list(KeyValueWire.ListKeysCall call) {
        String from = call.afterKey().compareTo(call.prefix()) > 0 ? call.afterKey() : call.prefix();
        List<String> keys = entries.tailMap(from, true).keySet().stream()
                .takeWhile(key -> key.startsWith(call.prefix()))
                .filter(key -> !key.equals(call.afterKey()))
                .limit(call.limit())
                .toList();
        return new KeyValueWire.ListKeysResponse(keys);
    }

    private CasResult compareAndSwap(KeyValueWire.WriteCall call) {
        List<MonoSink<Boolean>> waiting;
        CasResult result;
        synchronized (this) {
            long version = versionOf(call.key());
            if (version != call.expectedVersion()) {
                return new CasResult(false, version);
            }
            entries.put(call.key(), new Entry(version + 1, call.value()));
            result = new CasResult(true, version + 1);
            waiting = removeWatchers(call.key());
        }
        waiting.forEach(sink -> sink.success(true));
        return result;
    }

    private KeyValueWire.Acknowledgement delete(KeyValueWire.WriteCall call) {
        List<MonoSink<Boolean>> waiting;
        synchronized (this) {
            if (versionOf(call.key()) != call.expectedVersion()) {
                return new KeyValueWire.Acknowledgement(false);
            }
            entries.remove(call.key());
            waiting = removeWatchers(call.key());
        }
        waiting.forEach(sink -> sink.success(true));
        return new KeyValueWire.Acknowledgement(true);
    }

    private List<MonoSink<Boolean>> removeWatchers(String key) {
        List<MonoSink<Boolean>> waiting = watchers.remove(key);
        return waiting == null ? List.of() : List.copyOf(waiting);
    }

    private long versionOf(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.version();
    }

    private synchronized Lease acquire(KeyValueWire.LeaseCall call) {
        long nowMillis = System.nanoTime() / 1_000_000;
        LeaseEntry lease = leases.get(call.name());
        boolean free = lease == null || lease.expiresAtMillis() <= nowMillis;
        if (!free && !lease.holder().equals(call.holder())) {
            return new Lease(call.name(), lease.holder(), lease.fencingToken(), lease.expiresAtMillis() - nowMillis);
        }
        long token = free ? nextFencingToken++ : lease.fencingToken();
        leases.put(call.name(), new LeaseEntry(call.holder(), token, nowMillis + call.ttlMillis()));
        return new Lease(call.name(), call.holder(), token, call.ttlMillis());
    }

    private synchronized KeyValueWire.Acknowledgement release(KeyValueWire.LeaseCall call) {
        LeaseEntry lease = leases.get(call.name());
        boolean current = lease != null && lease.fencingToken() == call.fencingToken();
        if (current) {
            leases.remove(call.name());
        }
        return new KeyValueWire.Acknowledgement(current);
    }

    private record Entry(long version, byte[] value) {}

    private record LeaseEntry(String holder, long fencingToken, long expiresAtMillis) {}

    /**
     * Request body that sets all fault switches.
     *
     * @param down true for an outage
     * @param delayMillis delay of every call in milliseconds
     * @param losingAnswers true to lose the answers of writes
     */
    public record FaultCall(boolean down, long delayMillis, boolean losingAnswers) {}
}
