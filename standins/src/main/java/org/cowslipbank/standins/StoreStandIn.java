package org.cowslipbank.standins;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

import org.cowslipbank.adapters.KeyValueWire;
import org.cowslipbank.adapters.StoreWire;
import org.cowslipbank.adapters.WireJson;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.StoreTier;
import org.cowslipbank.ports.StoreStatus;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** Stand-in for a store VM: two-phase writes, block generations, memory and disk tiers, and a rate-limited link. */
public final class StoreStandIn implements StandIn {
    /** Disk read time relative to memory. */
    private static final double DISK_SLOWDOWN = 4;

    private final StoreId id;
    private final StoreSize size;
    private final StoreFaults faults = new StoreFaults();
    private final Map<BlockKey, Block> blocks = new HashMap<>();
    private final Map<Long, UncommittedWrite> uncommitted = new HashMap<>();
    private final AtomicLong linkBytes = new AtomicLong();
    private final JsonHttpServer server;
    private long nextId = 1;
    private long linkFreeAtNanos = System.nanoTime();

    /**
     * Starts the stand-in.
     *
     * @param id the store's identifier
     * @param host the IP address to listen on
     * @param port the port, zero for any
     * @param size capacities and link rate
     */
    public StoreStandIn(StoreId id, String host, int port, StoreSize size) {
        this.id = id;
        this.size = size;
        this.server = new JsonHttpServer(host, port, this::addRoutes);
    }

    /**
     * Returns the fault injection switches.
     *
     * @return the switches
     */
    public StoreFaults faults() {
        return faults;
    }

    /**
     * Returns the number of bytes transferred over the link so far, in both directions.
     *
     * @return the number of bytes
     */
    public long linkBytes() {
        return linkBytes.get();
    }

    /**
     * Returns the number of committed blocks.
     *
     * @return the count
     */
    public synchronized int blockCount() {
        return blocks.size();
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
        JsonHttpServer.post(
                routes, "/store/find", StoreWire.FindCall.class, call -> Mono.fromSupplier(() -> find(call)));
        JsonHttpServer.post(
                routes, "/store/free", StoreWire.BlockCall.class, call -> Mono.fromSupplier(() -> free(call)));
        JsonHttpServer.post(
                routes, "/store/move", StoreWire.BlockCall.class, call -> Mono.fromSupplier(() -> move(call)));
        JsonHttpServer.post(routes, "/store/commit", StoreWire.CommitCall.class, this::commit);
        routes.get("/store/status", (request, response) -> response.header("content-type", "application/json")
                .sendByteArray(Mono.fromSupplier(() -> WireJson.write(status()))));
        routes.post("/store/blocks", this::write);
        routes.get("/store/blocks/{key}/{generation}", this::read);
    }

    private synchronized StoreWire.FindResponse find(StoreWire.FindCall call) {
        List<BlockRef> found = call.keys().stream()
                .map(blocks::get)
                .filter(Objects::nonNull)
                .map(Block::ref)
                .toList();
        return new StoreWire.FindResponse(found);
    }

    private synchronized KeyValueWire.Acknowledgement free(StoreWire.BlockCall call) {
        Block block = blocks.get(call.key());
        boolean current = block != null && block.ref().generation() == call.generation();
        if (current) {
            blocks.remove(call.key());
        }
        return new KeyValueWire.Acknowledgement(current);
    }

    private synchronized KeyValueWire.Acknowledgement move(StoreWire.BlockCall call) {
        Block block = blocks.get(call.key());
        if (block == null || block.ref().generation() != call.generation()) {
            return new KeyValueWire.Acknowledgement(false);
        }
        if (call.tier() != block.ref().tier()
                && usedBytes(call.tier()) + block.data().length > capacityBytes(call.tier())) {
            return new KeyValueWire.Acknowledgement(false);
        }
        blocks.put(call.key(), block.withTier(call.tier()));
        return new KeyValueWire.Acknowledgement(true);
    }

    private synchronized StoreStatus status() {
        return new StoreStatus(
                usedBytes(StoreTier.MEMORY),
                size.memoryBytes(),
                usedBytes(StoreTier.DISK),
                size.diskBytes(),
                size.linkBytesPerSecond());
    }

    private long usedBytes(StoreTier tier) {
        return blocks.values().stream()
                .filter(block -> block.ref().tier() == tier)
                .mapToLong(block -> block.data().length)
                .sum();
    }

    private long capacityBytes(StoreTier tier) {
        return tier == StoreTier.MEMORY ? size.memoryBytes() : size.diskBytes();
    }

    private Mono<Void> write(HttpServerRequest request, HttpServerResponse response) {
        BlockIdentity identity = readIdentity(request.requestHeaders().get(StoreWire.IDENTITY_HEADER));
        if (identity == null) {
            return response.status(400).send();
        }
        return request.receive()
                .aggregate()
                .asByteArray()
                .flatMap(data -> delayByLink(data.length, 1).thenReturn(data))
                .flatMap(data -> response.sendByteArray(Mono.just(WireJson.write(beginWrite(identity, data))))
                        .then());
    }

    private static BlockIdentity readIdentity(String header) {
        if (header == null) {
            return null;
        }
        try {
            return WireJson.read(Base64.getDecoder().decode(header), BlockIdentity.class);
        } catch (IOException e) {
            return null;
        }
    }

    private synchronized StoreWire.BeginWriteResponse beginWrite(BlockIdentity identity, byte[] data) {
        long writeId = nextId++;
        uncommitted.put(writeId, new UncommittedWrite(identity, data));
        return new StoreWire.BeginWriteResponse(writeId);
    }

    private Mono<BlockRef> commit(StoreWire.CommitCall call) {
        return Mono.defer(() -> {
            BlockRef ref = tryCommit(call);
            return ref == null ? Mono.error(new StatusException(409)) : Mono.just(ref);
        });
    }

    private synchronized BlockRef tryCommit(StoreWire.CommitCall call) {
        UncommittedWrite write = uncommitted.remove(call.writeId());
        if (write == null || write.data().length != call.lengthBytes()) {
            return null;
        }
        if (Checksums.crc32c(write.data()) != call.checksum()) {
            return null;
        }
        StoreTier tier = usedBytes(StoreTier.MEMORY) + write.data().length <= size.memoryBytes()
                ? StoreTier.MEMORY
                : StoreTier.DISK;
        if (usedBytes(tier) + write.data().length > capacityBytes(tier)) {
            return null;
        }
        BlockRef ref = new BlockRef(id, write.identity(), nextId++, write.data().length, call.checksum(), tier);
        blocks.put(write.identity().key(), new Block(ref, write.data()));
        return ref;
    }

    private Mono<Void> read(HttpServerRequest request, HttpServerResponse response) {
        BlockKey key = new BlockKey(request.param("key"));
        long generation = Long.parseLong(request.param("generation"));
        Block block = findBlock(key, generation);
        if (block == null) {
            return response.status(404).send();
        }
        double tierSlowdown = block.ref().tier() == StoreTier.DISK ? DISK_SLOWDOWN : 1;
        return delayByLink(block.data().length, tierSlowdown).then(Mono.defer(() -> send(response, block)));
    }

    private synchronized Block findBlock(BlockKey key, long generation) {
        Block block = blocks.get(key);
        return block != null && block.ref().generation() == generation ? block : null;
    }

    private Mono<Void> send(HttpServerResponse response, Block block) {
        Block sent = faults.freesBlocksDuringReads() ? freeAndReuse(block) : block;
        byte[] data = faults.isTruncatingReads() ? Arrays.copyOf(sent.data(), sent.data().length / 2) : sent.data();
        String identity = new String(
                Base64.getEncoder().encode(WireJson.write(sent.ref().identity())), StandardCharsets.US_ASCII);
        return response.header(StoreWire.IDENTITY_HEADER, identity)
                .header(StoreWire.GENERATION_HEADER, Long.toString(sent.ref().generation()))
                .sendByteArray(Mono.just(data))
                .then();
    }

    // Frees the block and reuses its space for other data under a new generation.
    private synchronized Block freeAndReuse(Block block) {
        byte[] other = block.data().clone();
        other[0] ^= 1;
        BlockRef ref = block.ref();
        BlockRef rewritten =
                new BlockRef(id, ref.identity(), nextId++, other.length, Checksums.crc32c(other), ref.tier());
        blocks.remove(ref.identity().key());
        return new Block(rewritten, other);
    }

    private Mono<Void> delayByLink(int lengthBytes, double tierSlowdown) {
        return Mono.defer(() -> {
            linkBytes.addAndGet(lengthBytes);
            return Mono.delay(Duration.ofNanos(reserveLinkNanos(lengthBytes, tierSlowdown)), Schedulers.parallel())
                    .then();
        });
    }

    private synchronized long reserveLinkNanos(int lengthBytes, double tierSlowdown) {
        double seconds = lengthBytes / (double) size.linkBytesPerSecond() * faults.linkSlowdown() * tierSlowdown;
        long nowNanos = System.nanoTime();
        linkFreeAtNanos = Math.max(nowNanos, linkFreeAtNanos) + (long) (seconds * 1e9);
        return linkFreeAtNanos - nowNanos;
    }

    private record UncommittedWrite(BlockIdentity identity, byte[] data) {}

    private record Block(BlockRef ref, byte[] data) {
        Block withTier(StoreTier tier) {
            BlockRef moved = new BlockRef(
                    ref.store(), ref.identity(), ref.generation(), ref.lengthBytes(), ref.checksum(), tier);
            return new Block(moved, data);
        }
    }
}
