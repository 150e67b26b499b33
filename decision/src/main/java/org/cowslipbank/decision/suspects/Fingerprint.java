package org.cowslipbank.decision.suspects;

import java.nio.charset.StandardCharsets;

import com.dynatrace.hash4j.hashing.Hashing;
import org.cowslipbank.model.TeamId;

/** Computes the fingerprint by which equal requests are recognised on all nodes. */
public final class Fingerprint {
    private Fingerprint() {}

    /**
     * Returns the fingerprint of a request. The weight version is left out: a request that crashed one version is
     * watched on the next one too.
     *
     * @param team the team; equal prompts of two teams are different requests
     * @param model the model's name
     * @param prompt the prompt or the call's body
     * @param maxTokens the most tokens of the answer
     * @return the fingerprint
     */
    public static long of(TeamId team, String model, byte[] prompt, int maxTokens) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(team.value())
                .putString(model)
                .putByteArray(prompt)
                .putInt(maxTokens)
                .getAsLong();
    }

    static long of(String text, long seed) {
        return Hashing.komihash5_0(seed).hashBytesToLong(text.getBytes(StandardCharsets.UTF_8));
    }
}
