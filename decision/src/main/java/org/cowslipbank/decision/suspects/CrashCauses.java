package org.cowslipbank.decision.suspects;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds what requests have in common that crash upstreams.
 *
 * <p>Load pattern: many requests are in progress at each crash and break with it, so each of them is suspected, and so
 * is each of their prompt parts. The actual cause is part of every crash, while the others are there by chance. The
 * smallest set of causes that explains the crashes is approximated by the greedy algorithm for set cover: the suspect
 * with the most unexplained crashes is taken first, and its crashes then count against no other suspect.
 */
public final class CrashCauses {
    private CrashCauses() {}

    /**
     * Something that a request consists of and that may crash an upstream: the request as a whole or a part of its
     * prompt.
     *
     * @param id identifies it on all nodes
     * @param depth its position in the prompt, the whole request comes last; of two suspects with the same crashes the
     *     deeper one is contained in fewer requests
     */
    public record Suspect(String id, int depth) {}

    /**
     * Returns the suspects that are taken as causes.
     *
     * @param crashes for each crash the suspects that were in progress
     * @param minCrashes number of unexplained crashes from which on a suspect is taken as a cause
     * @return the causes; the same for any order of the crashes
     */
    public static Set<Suspect> find(Collection<Set<Suspect>> crashes, int minCrashes) {
        Set<Suspect> causes = new HashSet<>();
        List<Set<Suspect>> unexplained = new ArrayList<>(crashes);
        while (unexplained.size() >= minCrashes) {
            Map<Suspect, Integer> counts = new HashMap<>();
            unexplained.forEach(crash -> crash.forEach(suspect -> counts.merge(suspect, 1, Integer::sum)));
            Comparator<Suspect> byCrashes = Comparator.comparing(counts::get);
            Suspect likeliest = counts.keySet().stream()
                    .max(byCrashes.thenComparing(Suspect::depth).thenComparing(Suspect::id))
                    .orElse(null);
            if (likeliest == null || counts.get(likeliest) < minCrashes) {
                break;
            }
            causes.add(likeliest);
            unexplained.removeIf(crash -> crash.contains(likeliest));
        }
        return causes;
    }

    /**
     * Returns the suspects that were in progress at all of several crashes.
     *
     * @param crashes for each crash the suspects that were in progress, at least one crash
     * @return the suspects that all crashes have in common
     */
    public static Set<Suspect> inAll(Collection<Set<Suspect>> crashes) {
        Set<Suspect> common = new HashSet<>(crashes.iterator().next());
        crashes.forEach(common::retainAll);
        return common;
    }
}
