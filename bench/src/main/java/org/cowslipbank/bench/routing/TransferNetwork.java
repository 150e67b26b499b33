package org.cowslipbank.bench.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cowslipbank.decision.routing.BlockGrant;
import org.cowslipbank.decision.routing.FetchDecision;
import org.cowslipbank.decision.routing.LinkEstimate;
import org.cowslipbank.decision.routing.LinkScheduler;
import org.cowslipbank.decision.routing.TransferPriority;

/**
 * The links of the stores. Each node schedules its own transfers and has two blocks in flight per link, so that the disk
 * reads one while the link carries the other. Disk and link each serve the blocks of all nodes in order of request, so
 * nodes share them without coordination.
 */
final class TransferNetwork {
    private static final int BLOCKS_IN_FLIGHT = 2;

    private final VirtualClock clock;
    private final Workload workload;
    private final Link[] links;
    private final Port[][] ports;
    private long nextTransferId;
    private long bytesMoved;

    TransferNetwork(VirtualClock clock, Workload workload) {
        this.clock = clock;
        this.workload = workload;
        this.links = new Link[workload.stores()];
        this.ports = new Port[workload.nodes()][workload.stores()];
        for (int link = 0; link < links.length; link++) {
            links[link] = new Link();
            for (int node = 0; node < ports.length; node++) {
                ports[node][link] = new Port(link);
            }
        }
    }

    /** Queues a transfer; {@code onBlock} runs once for each block and {@code onFailed} once if the link falls silent. */
    long submit(
            int node,
            int link,
            TransferPriority priority,
            int blocks,
            boolean fromDisk,
            Runnable onBlock,
            Runnable onFailed) {
        long id = nextTransferId++;
        Port port = ports[node][link];
        List<Long> blockBytes = Collections.nCopies(blocks, workload.blockBytes());
        port.callbacks.put(id, new Callbacks(fromDisk, onBlock, onFailed));
        port.scheduler.submit(id, priority, blockBytes);
        port.pump();
        return id;
    }

    void cancel(int node, int link, long transferId) {
        Port port = ports[node][link];
        port.callbacks.remove(transferId);
        port.scheduler.cancel(transferId);
    }

    void reprioritise(int node, int link, long transferId, TransferPriority priority) {
        ports[node][link].scheduler.reprioritise(transferId, priority);
    }

    LinkEstimate estimate(int node, int link) {
        return ports[node][link].estimate;
    }

    /** Bytes that a new foreground transfer of a node finds ahead of it. */
    long queuedBytes(int node, int link) {
        Port port = ports[node][link];
        return port.scheduler.waitingBytes(TransferPriority.FOREGROUND) + port.inFlight.size() * workload.blockBytes();
    }

    /** Foreground bytes of all nodes. */
    long queuedBytesOfAll(int link) {
        long bytes = 0;
        for (int node = 0; node < ports.length; node++) {
            bytes += queuedBytes(node, link);
        }
        return bytes;
    }

    double silentSinceMillis(int node, int link) {
        return ports[node][link].lastArrivalMillis;
    }

    double trueBytesPerSecond(int link) {
        return workload.linkBytesPerSecond() * links[link].factor;
    }

    boolean isDead(int link) {
        return links[link].dead;
    }

    long bytesMoved() {
        return bytesMoved;
    }

    void slow(int link, double factor) {
        links[link].factor = factor;
    }

    void kill(int link) {
        links[link].dead = true;
        links[link].waiting.clear();
        links[link].waitingForDisk.clear();
    }

    void revive(int link) {
        links[link].dead = false;
        links[link].busy = false;
        links[link].diskBusy = false;
    }

    /** Drops everything a node had queued, as when its process dies. */
    void reset(int node) {
        for (int link = 0; link < links.length; link++) {
            ports[node][link] = new Port(link);
        }
    }

    private record Callbacks(boolean fromDisk, Runnable onBlock, Runnable onFailed) {}

    private record Block(Port port, BlockGrant grant, boolean fromDisk, double grantedMillis) {}

    private final class Port {
        private final LinkScheduler scheduler = new LinkScheduler(BLOCKS_IN_FLIGHT);
        private final Map<Long, Callbacks> callbacks = new HashMap<>();
        private final int link;
        private LinkEstimate estimate = LinkEstimate.configured(workload.linkBytesPerSecond());
        private final List<BlockGrant> inFlight = new ArrayList<>();
        private double lastArrivalMillis;

        Port(int link) {
            this.link = link;
        }

        void pump() {
            for (Optional<BlockGrant> next = scheduler.next(); next.isPresent(); next = scheduler.next()) {
                BlockGrant grant = next.get();
                inFlight.add(grant);
                Callbacks target = callbacks.get(grant.transferId());
                links[link].request(new Block(this, grant, target.fromDisk(), clock.nowMillis()));
                watch(grant, clock.nowMillis());
            }
        }

        private void watch(BlockGrant grant, double grantedMillis) {
            double expectedMillis = grant.bytes() * 1_000 / estimate.bytesPerSecond();
            double limitMillis = FetchDecision.silentAfterMillis(expectedMillis);
            double silentFromMillis = Math.max(grantedMillis, lastArrivalMillis);
            clock.at(silentFromMillis + limitMillis, () -> {
                if (!inFlight.contains(grant)) {
                    return;
                }
                if (lastArrivalMillis > silentFromMillis) {
                    watch(grant, grantedMillis);
                    return;
                }
                timeOut(grant, limitMillis);
            });
        }

        void arrived(Block block) {
            if (!inFlight.remove(block.grant())) {
                return;
            }
            double now = clock.nowMillis();
            // A block that waited behind this node's own block occupied the link only since that one arrived.
            double fromMillis = Math.max(block.grantedMillis(), lastArrivalMillis);
            if (now > fromMillis) {
                estimate = estimate.received(block.grant().bytes(), now - fromMillis, clock.nowWholeMillis());
            }
            lastArrivalMillis = now;
            Callbacks target = callbacks.get(block.grant().transferId());
            if (scheduler.ended(block.grant())) {
                callbacks.remove(block.grant().transferId());
            }
            pump();
            if (target != null) {
                target.onBlock().run();
            }
        }

        private void timeOut(BlockGrant grant, double waitedMillis) {
            estimate = estimate.timedOut(grant.bytes(), waitedMillis, clock.nowWholeMillis());
            List<Callbacks> failed = new ArrayList<>(callbacks.values());
            List.copyOf(callbacks.keySet()).forEach(scheduler::cancel);
            callbacks.clear();
            inFlight.forEach(scheduler::ended);
            inFlight.clear();
            failed.forEach(target -> target.onFailed().run());
        }
    }

    private final class Link {
        private final Deque<Block> waiting = new ArrayDeque<>();
        private final Deque<Block> waitingForDisk = new ArrayDeque<>();
        private boolean busy;
        private boolean diskBusy;
        private boolean dead;
        private double factor = 1;

        void request(Block block) {
            if (dead) {
                return;
            }
            if (block.fromDisk()) {
                waitingForDisk.addLast(block);
                readDisk();
                return;
            }
            waiting.addLast(block);
            serve();
        }

        private void readDisk() {
            if (diskBusy || waitingForDisk.isEmpty()) {
                return;
            }
            Block block = waitingForDisk.removeFirst();
            diskBusy = true;
            clock.after(block.grant().bytes() * 1_000 / workload.diskBytesPerSecond(), () -> {
                if (dead) {
                    return;
                }
                diskBusy = false;
                waiting.addLast(block);
                serve();
                readDisk();
            });
        }

        private void serve() {
            if (busy || waiting.isEmpty()) {
                return;
            }
            Block block = waiting.removeFirst();
            busy = true;
            double rate = workload.linkBytesPerSecond() * factor;
            clock.after(block.grant().bytes() * 1_000 / rate, () -> finish(block));
        }

        private void finish(Block block) {
            if (dead) {
                return;
            }
            busy = false;
            bytesMoved += block.grant().bytes();
            block.port().arrived(block);
            serve();
        }
    }
}
