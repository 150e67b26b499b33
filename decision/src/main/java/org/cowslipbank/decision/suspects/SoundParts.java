package org.cowslipbank.decision.suspects;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Prompt parts that were in answers of this node which went on well, and for how long such a part is not refused yet.
 *
 * <p>Load pattern: several engines fail at the same moment, for a reason of their own. In a large fleet each node has
 * requests at one or two of them, so none sees that they failed together, and a part that many prompts share is in three
 * reports at once. The answers that clear it become known later than the crashes, so a part that is known as sound is refused
 * only once they would have been. A part that crashes each engine is in no such answer and is refused at once. Confined to
 * the traffic thread.
 */
public final class SoundParts {
    /**
     * How long answers that clear a part are awaited: nodes delay what they tell by up to 0.5 s, and with hubs a report on a
     * crash and the answer to it take up to 0.45 s each.
     */
    public static final long EVIDENCE_WAIT_MILLIS = 1_500;

    /** How long a part counts as known. */
    static final long REMEMBERED_MILLIS = 60_000;

    /** Parts that are remembered; those that were in no answer for longest are forgotten first. */
    static final int MAX_PARTS = 2_048;

    private final Map<String, Long> lastSoundMillis = new LinkedHashMap<>();

    /**
     * Records an answer that went on well.
     *
     * @param parts identifiers of its parts as suspects
     * @param nowMillis the time in milliseconds
     */
    public void onSound(Collection<String> parts, long nowMillis) {
        for (String part : parts) {
            // Removed first, so that the order is that of the times.
            lastSoundMillis.remove(part);
            lastSoundMillis.put(part, nowMillis);
        }
        var oldest = lastSoundMillis.keySet().iterator();
        while (lastSoundMillis.size() > MAX_PARTS) {
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Returns whether a suspect that is taken as a cause of crashes may still be cleared, so that it is not refused yet.
     *
     * @param suspect its identifier
     * @param watchedSinceMillis since when nodes tell each other of sound answers with it, in milliseconds
     * @param nowMillis the time in milliseconds
     * @return false if it was in no sound answer lately, or if none has cleared it in time
     */
    public boolean mayBeCleared(String suspect, long watchedSinceMillis, long nowMillis) {
        Long soundMillis = lastSoundMillis.get(suspect);
        return soundMillis != null
                && nowMillis - soundMillis < REMEMBERED_MILLIS
                && nowMillis - watchedSinceMillis < EVIDENCE_WAIT_MILLIS;
    }
}
