package org.cowslipbank.adapters;

import java.util.List;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreId;

/** Request bodies of an engine's JSON interface that are not records of the ports module. */
public final class EngineWire {
    private EngineWire() {}

    /**
     * Request to resume or cancel a run.
     *
     * @param attempt the attempt that started the run
     * @param fromToken index of the first token to send, for a resume; zero for a cancellation
     */
    public record AttemptCall(AttemptId attempt, int fromToken) {}

    /**
     * Request to import cache blocks from stores.
     *
     * @param blocks the blocks
     * @param storeAddresses address of each block's store as {@code IP:port}, in the order of the blocks
     */
    public record ImportCall(List<BlockRef> blocks, List<String> storeAddresses) {}

    /**
     * Request to export cache blocks to a store.
     *
     * @param attempt the attempt whose run computed the blocks
     * @param blocks the blocks
     * @param store the target store
     * @param storeAddress the store's address as {@code IP:port}
     */
    public record ExportCall(AttemptId attempt, List<BlockIdentity> blocks, StoreId store, String storeAddress) {}
}
