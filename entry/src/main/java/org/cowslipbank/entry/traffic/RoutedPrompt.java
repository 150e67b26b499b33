package org.cowslipbank.entry.traffic;

import java.util.List;

import org.cowslipbank.config.Upstream;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;

/**
 * A prompt with its chosen upstream, ready to be sent.
 *
 * @param upstream the upstream
 * @param model the model, weight version and adapter on which it runs
 * @param chain block identities of the prompt's full pieces
 * @param retained blocks of the prompt that the store holds
 * @param staged blocks that were fetched to the upstream and verified
 * @param computeTokens prompt tokens that the upstream is expected to compute
 */
record RoutedPrompt(
        Upstream upstream,
        ModelRef model,
        List<BlockIdentity> chain,
        List<BlockRef> retained,
        List<BlockIdentity> staged,
        long computeTokens) {}
