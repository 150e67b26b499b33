package org.cowslipbank.decision.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Schedules this node's transfers on one link, block by block, so that a more urgent transfer waits for at most one
 * block of a less urgent one. Transfers of equal priority run in order of submission. Not thread-safe.
 */
public final class LinkScheduler {
    private final Map<TransferPriority, Deque<Transfer>> queues = new EnumMap<>(TransferPriority.class);
    private final Map<Long, Transfer> transfers = new HashMap<>();
    private final int maxBlocksInFlight;
    private int blocksInFlight;

    /**
     * Creates an idle scheduler.
     *
     * @param maxBlocksInFlight maximum number of blocks transferred at once
     */
    public LinkScheduler(int maxBlocksInFlight) {
        this.maxBlocksInFlight = maxBlocksInFlight;
        for (TransferPriority priority : TransferPriority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    /**
     * Queues a transfer.
     *
     * @param transferId identifier that no unfinished transfer uses
     * @param priority priority of the transfer
     * @param blockBytes length of each block in bytes, in order, not empty
     * @throws IllegalArgumentException if the identifier is in use or the list of blocks is empty
     */
    public void submit(long transferId, TransferPriority priority, List<Long> blockBytes) {
        if (blockBytes.isEmpty() || transfers.containsKey(transferId)) {
            throw new IllegalArgumentException(
                    "cannot queue transfer " + transferId + ": it has no blocks or its identifier is in use");
        }
        Transfer transfer = new Transfer(transferId, priority, List.copyOf(blockBytes));
        transfers.put(transferId, transfer);
        queues.get(priority).addLast(transfer);
    }

    /**
     * Grants the next block to transfer.
     *
     * @return the block, or empty if no transfer is waiting or the limit of blocks in flight is reached
     */
    public Optional<BlockGrant> grantNext() {
        if (blocksInFlight >= maxBlocksInFlight) {
            return Optional.empty();
        }
        for (Deque<Transfer> queue : queues.values()) {
            Transfer transfer = queue.peekFirst();
            if (transfer == null) {
                continue;
            }
            BlockGrant grant = transfer.grantNextBlock();
            if (transfer.isFullyGranted()) {
                queue.removeFirst();
            }
            blocksInFlight++;
            return Optional.of(grant);
        }
        return Optional.empty();
    }

    /**
     * Reports the end of a granted block, which has arrived, failed or been aborted. Must be called once for each
     * grant.
     *
     * @param grant the grant
     * @return true if this was the last block of its transfer
     */
    public boolean onBlockEnded(BlockGrant grant) {
        blocksInFlight--;
        Transfer transfer = transfers.get(grant.transferId());
        if (transfer == null) {
            return false;
        }
        transfer.endedBlocks++;
        if (transfer.endedBlocks < transfer.blockBytes.size()) {
            return false;
        }
        transfers.remove(grant.transferId());
        return true;
    }

    /**
     * Cancels a transfer: no further block of it is granted. The caller must still report the end of each
     * block in flight.
     *
     * @param transferId identifier of the transfer; ignored if unknown
     * @return number of bytes that were not granted yet
     */
    public long cancel(long transferId) {
        Transfer transfer = transfers.remove(transferId);
        if (transfer == null) {
            return 0;
        }
        queues.get(transfer.priority).remove(transfer);
        return transfer.waitingBytes;
    }

    /**
     * Changes the priority of a transfer, for example when the request arrives whose blocks are being prefetched.
     *
     * @param transferId identifier of the transfer; ignored if unknown
     * @param priority the new priority
     */
    public void reprioritise(long transferId, TransferPriority priority) {
        Transfer transfer = transfers.get(transferId);
        if (transfer == null || transfer.priority == priority) {
            return;
        }
        boolean waiting = queues.get(transfer.priority).remove(transfer);
        transfer.priority = priority;
        if (waiting) {
            queues.get(priority).addLast(transfer);
        }
    }

    /**
     * Returns the number of bytes queued ahead of a new transfer.
     *
     * @param priority priority of the new transfer
     * @return bytes of this priority or a more urgent one that are not granted yet
     */
    public long queuedBytes(TransferPriority priority) {
        long bytes = 0;
        for (Map.Entry<TransferPriority, Deque<Transfer>> entry : queues.entrySet()) {
            if (entry.getKey().compareTo(priority) > 0) {
                break;
            }
            for (Transfer transfer : entry.getValue()) {
                bytes += transfer.waitingBytes;
            }
        }
        return bytes;
    }

    private static final class Transfer {
        private final long id;
        private final List<Long> blockBytes;
        private TransferPriority priority;
        private int grantedBlocks;
        private int endedBlocks;
        private long waitingBytes;

        Transfer(long id, TransferPriority priority, List<Long> blockBytes) {
            this.id = id;
            this.priority = priority;
            this.blockBytes = blockBytes;
            this.waitingBytes = blockBytes.stream().mapToLong(Long::longValue).sum();
        }

        BlockGrant grantNextBlock() {
            long bytes = blockBytes.get(grantedBlocks);
            waitingBytes -= bytes;
            return new BlockGrant(id, grantedBlocks++, bytes);
        }

        boolean isFullyGranted() {
            return grantedBlocks == blockBytes.size();
        }
    }
}
