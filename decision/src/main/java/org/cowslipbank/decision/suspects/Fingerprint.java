package org.cowslipbank.decision.suspects;

import java.nio.charset.StandardCharsets;

import com.dynatrace.hash4j.hashing.Hashing;
import org.cowslipbank.model.TeamId;

/** Computes the hash by which every node recognises copies of the same request. */
public final class Fingerprint {
    private Fingerprint() {}

    /**
     * Returns the fingerprint of a request. It does not include the weight version, so a request that crashed one
     * version stays a suspect on the next.
     *
     * @param team the team; the same prompt from two teams counts as two requests
     * @param model the model's name
     * @param prompt the prompt, or the request body of a call to a plain service
     * @param maxTokens token limit of the answer
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
