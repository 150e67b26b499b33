package org.cowslipbank.decision.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Schedules this node's transfers on one link, block by block. A more urgent transfer therefore waits for one block of a
 * less urgent one at most. Transfers of equal priority run in order of submission. A state machine for one thread.
 */
public final class LinkScheduler {
    private final Map<TransferPriority, Deque<Transfer>> queues = new EnumMap<>(TransferPriority.class);
    private final Map<Long, Transfer> transfers = new HashMap<>();
    private final int maxBlocksInFlight;
    private int blocksInFlight;

    /**
     * Creates an idle scheduler.
     *
     * @param maxBlocksInFlight blocks that may be transferred at once
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
     * @param transferId identifier, not in use
     * @param priority its priority
     * @param blockBytes length of each block in order, not empty
     * @throws IllegalArgumentException if the identifier is in use or there is no block
     */
    public void submit(long transferId, TransferPriority priority, List<Long> blockBytes) {
        if (blockBytes.isEmpty() || transfers.containsKey(transferId)) {
            throw new IllegalArgumentException("transfer " + transferId + " is empty or known");
        }
        Transfer transfer = new Transfer(transferId, priority, List.copyOf(blockBytes));
        transfers.put(transferId, transfer);
        queues.get(priority).addLast(transfer);
    }

    /**
     * Returns the next block to transfer, if the link has room.
     *
     * @return the block, or empty
     */
    public Optional<BlockGrant> next() {
        if (blocksInFlight >= maxBlocksInFlight) {
            return Optional.empty();
        }
        for (Deque<Transfer> queue : queues.values()) {
            Transfer transfer = queue.peekFirst();
            if (transfer == null) {
                continue;
            }
            BlockGrant grant = transfer.grant();
            if (transfer.isGranted()) {
                queue.removeFirst();
            }
            blocksInFlight++;
            return Optional.of(grant);
        }
        return Optional.empty();
    }

    /**
     * Notes that a granted block has arrived, failed or been aborted. Must be called once for each grant.
     *
     * @param grant the grant
     * @return true if all blocks of its transfer have ended
     */
    public boolean ended(BlockGrant grant) {
        blocksInFlight--;
        Transfer transfer = transfers.get(grant.transferId());
        if (transfer == null) {
            return false;
        }
        transfer.ended++;
        if (transfer.ended < transfer.blockBytes.size()) {
            return false;
        }
        transfers.remove(grant.transferId());
        return true;
    }

    /**
     * Cancels a transfer: no further block of it is granted. Blocks in flight are ended by the caller.
     *
     * @param transferId the transfer
     * @return bytes that are not transferred because of this
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
     * Changes the priority of a transfer, as when the request arrives whose blocks are being prefetched.
     *
     * @param transferId the transfer
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
     * Returns the bytes that wait ahead of a new transfer.
     *
     * @param priority priority of the new transfer
     * @return bytes not yet granted with this priority or a more urgent one
     */
    public long waitingBytes(TransferPriority priority) {
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
        private int granted;
        private int ended;
        private long waitingBytes;

        Transfer(long id, TransferPriority priority, List<Long> blockBytes) {
            this.id = id;
            this.priority = priority;
            this.blockBytes = blockBytes;
            this.waitingBytes = blockBytes.stream().mapToLong(Long::longValue).sum();
        }

        BlockGrant grant() {
            long bytes = blockBytes.get(granted);
            waitingBytes -= bytes;
            return new BlockGrant(id, granted++, bytes);
        }

        boolean isGranted() {
            return granted == blockBytes.size();
        }
    }
}
