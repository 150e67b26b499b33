package org.cowslipbank.decision.claims;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.cowslipbank.model.TeamId;

/**
 * Idempotency key of a non-repeatable request. Keys are scoped to a team: equal texts of two teams are different keys.
 *
 * @param team the team that sent the key
 * @param window number of the time window in which the key was issued, see {@link ClaimWindows}
 * @param own the part that the caller chooses, 1 to 128 visible ASCII characters
 */
public record ClaimKey(TeamId team, long window, String own) {
    private static final Pattern HEADER_FORMAT = Pattern.compile("(0|[1-9][0-9]{0,14})\\.([\\x21-\\x7e]{1,128})");

    /**
     * Parses the value of an {@code Idempotency-Key} header.
     *
     * @param team the team that sent the header
     * @param text {@code <window>.<caller's own part>}
     * @return the key, or empty if the text does not have this form
     */
    public static Optional<ClaimKey> parse(TeamId team, String text) {
        Matcher matcher = HEADER_FORMAT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new ClaimKey(team, Long.parseLong(matcher.group(1)), matcher.group(2)));
    }

    /**
     * Returns the partition that records the key.
     *
     * @param partitions number of partitions; the same on every node
     * @return number of the partition, from zero
     */
    public int partition(int partitions) {
        int hash = 31 * (31 * team.value().hashCode() + Long.hashCode(window)) + own.hashCode();
        // Fibonacci hashing (Knuth, volume 3, section 6.4) spreads the similar hashes of consecutive keys.
        return Math.floorMod((int) ((hash * 0x9E3779B97F4A7C15L) >>> 32), partitions);
    }
}
