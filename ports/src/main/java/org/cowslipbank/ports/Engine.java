package org.cowslipbank.ports;

import java.util.List;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** A model engine. It moves cache blocks to and from stores itself; the node gives and checks the references. */
public interface Engine {
    /**
     * Runs a prompt.
     *
     * @param call what to run
     * @return the events of the run; ends after {@link EngineEvent.Finished}. Cancelling the subscription cancels the
     *     run
     */
    Flux<EngineEvent> generate(GenerateCall call);

    /**
     * Resumes the stream of a run whose connection was lost.
     *
     * @param attempt the attempt
     * @param fromToken index of the first token wanted, from zero
     * @return the remaining events; an error with run state not run if the engine does not know the attempt
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
     * Fetches committed blocks from stores into the engine's staging memory. The caller compares each receipt with its
     * reference before it names the block in a {@link GenerateCall}.
     *
     * @param blocks the blocks to fetch, in prompt order
     * @return a receipt for each block that arrived, in order, as each arrives. Cancelling stops the transfer
     */
    Flux<BlockReceipt> importBlocks(List<BlockRef> blocks);

    /**
     * Exports pieces of a run's prompt that the engine still holds to a store, in two steps: data, then commit.
     *
     * @param attempt the run
     * @param blocks the blocks to export
     * @param store the store's identifier
     * @param storeAddress the store's address as {@code IP:port}
     * @return a reference for each committed block
     */
    Flux<BlockRef> exportBlocks(AttemptId attempt, List<BlockIdentity> blocks, StoreId store, String storeAddress);

    /**
     * Reads the engine's load report, which lags.
     *
     * @return the report
     */
    Mono<EngineLoad> load();

    /**
     * Subscribes to cache events. They come late and with gaps and serve as hints only.
     *
     * @return the events
     */
    Flux<CacheEvent> cacheEvents();

    /**
     * Gives the engine an order.
     *
     * @param order the order
     * @return whether it was accepted, and the engine's state
     */
    Mono<OrderAnswer> order(EngineOrder order);
}
