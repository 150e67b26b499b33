package org.cowslipbank.bench.demo;

import java.util.SplittableRandom;

/** Generates the prompts of a workload, the same for the same session number, team and turn. */
final class PromptTexts {
    private static final String[] WORDS = {
        "beam", "rafter", "slat", "span", "load", "joint", "die", "punch", "lot", "colour", "batch", "carton", "width",
        "quote", "review", "depth"
    };
    private static final int BYTES_ADDED_PER_TURN = 1_200;

    private PromptTexts() {}

    static String firstPrompt(long number, int team, int minBytes, int maxBytes) {
        SplittableRandom random = new SplittableRandom(number * 7_919 + team);
        int length = random.nextInt(minBytes, maxBytes);
        return fill("team " + team + " session " + number + ":", random, length);
    }

    static String extend(String previous, long number, int turn) {
        SplittableRandom random = new SplittableRandom(number * 104_729 + turn);
        return fill(previous + " turn " + turn + ":", random, previous.length() + BYTES_ADDED_PER_TURN);
    }

    private static String fill(String prefix, SplittableRandom random, int lengthBytes) {
        StringBuilder text = new StringBuilder(prefix);
        while (text.length() < lengthBytes) {
            text.append(' ').append(WORDS[random.nextInt(WORDS.length)]).append(random.nextInt(100));
        }
        return text.toString();
    }
}
