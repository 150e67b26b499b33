package org.cowslipbank.bench.demo;

import java.util.SplittableRandom;

/** Prompts of a seeded workload. */
final class PromptTexts {
    private static final String[] WORDS = {
        "beam", "rafter", "slat", "span", "load", "joint", "die", "punch", "lot", "colour", "batch", "carton", "width",
        "quote", "review", "depth"
    };
    private static final int GROWTH_BYTES = 1_200;

    private PromptTexts() {}

    static String first(long number, int team, int minBytes, int maxBytes) {
        SplittableRandom random = new SplittableRandom(number * 7_919 + team);
        int length = random.nextInt(minBytes, maxBytes);
        return text("team " + team + " session " + number + ":", random, length);
    }

    static String grown(String previous, long number, int turn) {
        SplittableRandom random = new SplittableRandom(number * 104_729 + turn);
        return text(previous + " turn " + turn + ":", random, previous.length() + GROWTH_BYTES);
    }

    private static String text(String start, SplittableRandom random, int lengthBytes) {
        StringBuilder text = new StringBuilder(start);
        while (text.length() < lengthBytes) {
            text.append(' ').append(WORDS[random.nextInt(WORDS.length)]).append(random.nextInt(100));
        }
        return text.toString();
    }
}
