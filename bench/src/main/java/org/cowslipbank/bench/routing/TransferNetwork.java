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
 * Models the links of the stores. Each node schedules its own transfers and keeps two blocks in flight per link, so
 * that the disk reads one while the link carries the other. Disk and link each serve the blocks of all nodes first
 * come, first served, so nodes share them without coordination.
 */
final class TransferNetwork {
    private static final int MAX_BLOCKS_IN_FLIGHT = 2;

    private final VirtualClock clock;
    private final Workload workload;
    private final Link[] links;
    private final NodeLink[][] nodeLinks;
    private long nextTransferId;
    private long bytesMoved;

    TransferNetwork(VirtualClock clock, Workload workload) {
        this.clock = clock;
        this.workload = workload;
        this.links = new Link[workload.stores()];
        this.nodeLinks = new NodeLink[workload.nodes()][workload.stores()];
        for (int link = 0; link < links.length; link++) {
            links[link] = new Link();
            for (int node = 0; node < nodeLinks.length; node++) {
                nodeLinks[node][link] = new NodeLink(link);
            }
        }
    }

    /** Queues a transfer; {@code onBlock} runs once for each block, {@code onFailed} once if a block times out. */
    long submit(
            int node,
            int link,
            TransferPriority priority,
            int blocks,
            boolean fromDisk,
            Runnable onBlock,
            Runnable onFailed) {
        long id = nextTransferId++;
        NodeLink nodeLink = nodeLinks[node][link];
        List<Long> blockBytes = Collections.nCopies(blocks, workload.blockBytes());
        nodeLink.transfers.put(id, new Transfer(fromDisk, onBlock, onFailed));
        nodeLink.scheduler.submit(id, priority, blockBytes);
        nodeLink.dispatch();
        return id;
    }

    void cancel(int node, int link, long transferId) {
        NodeLink nodeLink = nodeLinks[node][link];
        nodeLink.transfers.remove(transferId);
        nodeLink.scheduler.cancel(transferId);
    }

    void reprioritise(int node, int link, long transferId, TransferPriority priority) {
        nodeLinks[node][link].scheduler.reprioritise(transferId, priority);
    }

    LinkEstimate estimate(int node, int link) {
        return nodeLinks[node][link].estimate;
    }

    /** Returns the bytes that a new foreground transfer of a node has to wait for. */
    long queuedBytes(int node, int link) {
        NodeLink nodeLink = nodeLinks[node][link];
        return nodeLink.scheduler.queuedBytes(TransferPriority.FOREGROUND)
                + nodeLink.inFlight.size() * workload.blockBytes();
    }

    /** Returns the sum over all nodes of {@link #queuedBytes}. */
    long queuedBytesOfAllNodes(int link) {
        long bytes = 0;
        for (int node = 0; node < nodeLinks.length; node++) {
            bytes += queuedBytes(node, link);
        }
        return bytes;
    }

    double lastArrivalMillis(int node, int link) {
        return nodeLinks[node][link].lastArrivalMillis;
    }

    double actualBytesPerSecond(int link) {
        return workload.linkBytesPerSecond() * links[link].rateFactor;
    }

    boolean isDead(int link) {
        return links[link].dead;
    }

    long bytesMoved() {
        return bytesMoved;
    }

    void setRateFactor(int link, double factor) {
        links[link].rateFactor = factor;
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

    /** Drops all transfers of a node, as when its process dies. */
    void reset(int node) {
        for (int link = 0; link < links.length; link++) {
            nodeLinks[node][link] = new NodeLink(link);
        }
    }

    private record Transfer(boolean fromDisk, Runnable onBlock, Runnable onFailed) {}

    private record BlockTransfer(NodeLink nodeLink, BlockGrant grant, boolean fromDisk, double grantedMillis) {}

    private final class NodeLink {
        private final LinkScheduler scheduler = new LinkScheduler(MAX_BLOCKS_IN_FLIGHT);
        private final Map<Long, Transfer> transfers = new HashMap<>();
        private final int link;
        private LinkEstimate estimate = LinkEstimate.ofConfiguredRate(workload.linkBytesPerSecond());
        private final List<BlockGrant> inFlight = new ArrayList<>();
        private double lastArrivalMillis;

        NodeLink(int link) {
            this.link = link;
        }

        void dispatch() {
            for (Optional<BlockGrant> next = scheduler.grantNext(); next.isPresent(); next = scheduler.grantNext()) {
                BlockGrant grant = next.get();
                inFlight.add(grant);
                Transfer transfer = transfers.get(grant.transferId());
                links[link].enqueue(new BlockTransfer(this, grant, transfer.fromDisk(), clock.nowMillis()));
                scheduleTimeout(grant, clock.nowMillis());
            }
        }

        private void scheduleTimeout(BlockGrant grant, double grantedMillis) {
            double expectedMillis = grant.bytes() * 1_000 / estimate.bytesPerSecond();
            double timeoutMillis = FetchDecision.silentAfterMillis(expectedMillis);
            double waitingSinceMillis = Math.max(grantedMillis, lastArrivalMillis);
            clock.at(waitingSinceMillis + timeoutMillis, () -> {
                if (!inFlight.contains(grant)) {
                    return;
                }
                if (lastArrivalMillis > waitingSinceMillis) {
                    scheduleTimeout(grant, grantedMillis);
                    return;
                }
                onTimeout(grant, timeoutMillis);
            });
        }

        void onBlockArrived(BlockTransfer block) {
            if (!inFlight.remove(block.grant())) {
                return;
            }
            double now = clock.nowMillis();
            // A block that waited behind an earlier block of this node has used the link only since that one arrived.
            double fromMillis = Math.max(block.grantedMillis(), lastArrivalMillis);
            if (now > fromMillis) {
                estimate = estimate.withReceivedBlock(block.grant().bytes(), now - fromMillis, clock.nowWholeMillis());
            }
            lastArrivalMillis = now;
            Transfer transfer = transfers.get(block.grant().transferId());
            if (scheduler.onBlockEnded(block.grant())) {
                transfers.remove(block.grant().transferId());
            }
            dispatch();
            if (transfer != null) {
                transfer.onBlock().run();
            }
        }

        private void onTimeout(BlockGrant grant, double waitedMillis) {
            estimate = estimate.withTimeout(grant.bytes(), waitedMillis, clock.nowWholeMillis());
            List<Transfer> failed = new ArrayList<>(transfers.values());
            List.copyOf(transfers.keySet()).forEach(scheduler::cancel);
            transfers.clear();
            inFlight.forEach(scheduler::onBlockEnded);
            inFlight.clear();
            failed.forEach(transfer -> transfer.onFailed().run());
        }
    }

    private final class Link {
        private final Deque<BlockTransfer> waiting = new ArrayDeque<>();
        private final Deque<BlockTransfer> waitingForDisk = new ArrayDeque<>();
        private boolean busy;
        private boolean diskBusy;
        private boolean dead;
        private double rateFactor = 1;

        void enqueue(BlockTransfer block) {
            if (dead) {
                return;
            }
            if (block.fromDisk()) {
                waitingForDisk.addLast(block);
                readNextFromDisk();
                return;
            }
            waiting.addLast(block);
            transferNext();
        }

        private void readNextFromDisk() {
            if (diskBusy || waitingForDisk.isEmpty()) {
                return;
            }
            BlockTransfer block = waitingForDisk.removeFirst();
            diskBusy = true;
            clock.after(block.grant().bytes() * 1_000 / workload.diskBytesPerSecond(), () -> {
                if (dead) {
                    return;
                }
                diskBusy = false;
                waiting.addLast(block);
                transferNext();
                readNextFromDisk();
            });
        }

        private void transferNext() {
            if (busy || waiting.isEmpty()) {
                return;
            }
            BlockTransfer block = waiting.removeFirst();
            busy = true;
            double rate = workload.linkBytesPerSecond() * rateFactor;
            clock.after(block.grant().bytes() * 1_000 / rate, () -> completeTransfer(block));
        }

        private void completeTransfer(BlockTransfer block) {
            if (dead) {
                return;
            }
            busy = false;
            bytesMoved += block.grant().bytes();
            block.nodeLink().onBlockArrived(block);
            transferNext();
        }
    }
}
