package org.cowslipbank.adapters;

import java.util.List;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreId;

/** Messages of an engine's JSON interface beyond the port records. */
public final class EngineWire {
    private EngineWire() {}

    /**
     * Resumes or cancels a run.
     *
     * @param attempt the attempt
     * @param fromToken first token wanted, for a resume
     */
    public record AttemptCall(AttemptId attempt, int fromToken) {}

    /**
     * Imports blocks.
     *
     * @param blocks the blocks
     * @param storeAddresses address of the store of each block
     */
    public record ImportCall(List<BlockRef> blocks, List<String> storeAddresses) {}

    /**
     * Exports blocks.
     *
     * @param attempt the run
     * @param blocks the blocks
     * @param store the store
     * @param storeAddress the store's address
     */
    public record ExportCall(AttemptId attempt, List<BlockIdentity> blocks, StoreId store, String storeAddress) {}
}
