package org.cowslipbank.standins;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The text that an engine stand-in generates. It is a function of the prompt and the token index only, so that a client
 * can verify that it received the complete answer to its own prompt.
 */
public final class AnswerText {
    private AnswerText() {}

    /**
     * Returns the seed from which the answer to a prompt is generated.
     *
     * @param prompt the prompt
     * @return the CRC32C checksum of the prompt
     */
    public static long seed(String prompt) {
        CRC32C checksum = new CRC32C();
        checksum.update(prompt.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue();
    }

    /**
     * Returns one token of an answer.
     *
     * @param seed the prompt's seed
     * @param index index of the token, from zero
     * @return the token's text
     */
    public static String token(long seed, int index) {
        long mixed = (seed + index) * 0x9E3779B97F4A7C15L;
        return " " + Long.toString(mixed >>> 44, 36);
    }

    /**
     * Returns the complete answer to a prompt.
     *
     * @param prompt the prompt
     * @param tokens the number of tokens
     * @return the concatenated tokens
     */
    public static String answer(String prompt, int tokens) {
        long seed = seed(prompt);
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(token(seed, index));
        }
        return text.toString();
    }
}
