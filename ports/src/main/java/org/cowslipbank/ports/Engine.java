package org.cowslipbank.ports;

import java.util.List;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Client of a model engine. The engine itself moves cache blocks to and from stores; the node supplies and verifies the
 * references.
 */
public interface Engine {
    /**
     * Runs a prompt.
     *
     * @param call what to run
     * @return the events of the run; completes after {@link EngineEvent.Finished}. Cancelling the subscription cancels
     *     the run
     */
    Flux<EngineEvent> generate(GenerateCall call);

    /**
     * Resumes the stream of a run whose connection was lost.
     *
     * @param attempt the attempt
     * @param fromToken index of the first token to send, from zero
     * @return the remaining events; an error with {@link org.cowslipbank.model.RunState#NOT_RUN} if the engine does not
     *     know the attempt
     */
    Flux<EngineEvent> resume(AttemptId attempt, int fromToken);

    /**
     * Cancels a run.
     *
     * @param attempt the attempt
     * @return completes when the engine has answered
     */
    Mono<Void> cancel(AttemptId attempt);

    /**
     * Fetches committed blocks from stores into the engine's staging memory. The caller must compare each receipt with
     * its reference before it uses the block in a {@link GenerateCall}.
     *
     * @param blocks the blocks to fetch, in prompt order
     * @return a receipt for each block in prompt order, as it arrives. Cancelling the subscription stops the transfer
     */
    Flux<BlockReceipt> importBlocks(List<BlockRef> blocks);

    /**
     * Exports blocks of a run's prompt that the engine still holds to a store, in two steps: data, then commit.
     *
     * @param attempt the run
     * @param blocks the blocks to export
     * @param store the store's identifier
     * @param storeAddress the store's address as {@code IP:port}
     * @return a reference for each committed block
     */
    Flux<BlockRef> exportBlocks(AttemptId attempt, List<BlockIdentity> blocks, StoreId store, String storeAddress);

    /**
     * Reads the engine's load report, which is not up to date: see {@link EngineLoad#reportAgeMillis()}.
     *
     * @return the report
     */
    Mono<EngineLoad> load();

    /**
     * Subscribes to cache events. They may be late or lost and serve as hints only.
     *
     * @return the events
     */
    Flux<CacheEvent> cacheEvents();

    /**
     * Sends the engine a command.
     *
     * @param command the command
     * @return whether the command was accepted, and the engine's state
     */
    Mono<CommandAnswer> sendCommand(EngineCommand command);
}
