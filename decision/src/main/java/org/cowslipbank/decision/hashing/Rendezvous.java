package org.cowslipbank.decision.hashing;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Function;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Rendezvous hashing over named members. All nodes compute the same ranking from the same set of names. */
public final class Rendezvous {
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private Rendezvous() {}

    /**
     * Returns a 64-bit hash of a text that is equal on all nodes.
     *
     * @param text the text
     * @return the hash
     */
    public static long hash(String text) {
        return HASHER.hashCharsToLong(text);
    }

    /**
     * Joins the parts of a key unambiguously: different lists of parts give different keys.
     *
     * @param parts parts of the key
     * @return the key
     */
    public static String key(String... parts) {
        StringBuilder joined = new StringBuilder();
        for (String part : parts) {
            joined.append(part.length()).append(':').append(part);
        }
        return joined.toString();
    }

    /**
     * Returns the weight of a member for a key; the member with the greatest unsigned weight owns the key.
     *
     * @param keyHash hash of the key, from {@link #hash(String)}
     * @param memberHash hash of the member's name, from {@link #hash(String)}
     * @return the weight, to be compared as an unsigned number
     */
    public static long weight(long keyHash, long memberHash) {
        return HASHER.hashLongLongToLong(keyHash, memberHash);
    }

    /**
     * Returns the member with the greatest weight for a key; of equal weights, the one whose name sorts first.
     *
     * @param key the key
     * @param members the candidates in any order
     * @param name returns a member's unique name
     * @param <T> type of a member
     * @return the owner, or empty if there is no candidate
     */
    public static <T> Optional<T> owner(String key, Collection<T> members, Function<? super T, String> name) {
        long keyHash = hash(key);
        T best = null;
        String bestName = "";
        long bestWeight = 0;
        for (T member : members) {
            String memberName = name.apply(member);
            long weight = weight(keyHash, hash(memberName));
            int order = best == null ? 1 : Long.compareUnsigned(weight, bestWeight);
            if (order > 0 || order == 0 && memberName.compareTo(bestName) < 0) {
                best = member;
                bestName = memberName;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the members with the greatest weights for a key.
     *
     * @param key the key
     * @param members the candidates in any order
     * @param name returns a member's unique name
     * @param limit maximum number of members to return
     * @param <T> type of a member
     * @return the members in descending order of their weight, the owner first
     */
    public static <T> List<T> top(String key, Collection<T> members, Function<? super T, String> name, int limit) {
        long keyHash = hash(key);
        @SuppressWarnings({"unchecked", "rawtypes"})
        Ranked<T>[] ranked = new Ranked[members.size()];
        int index = 0;
        for (T member : members) {
            String memberName = name.apply(member);
            ranked[index++] = new Ranked<>(member, memberName, weight(keyHash, hash(memberName)));
        }
        Arrays.sort(ranked, Ranked.BY_DESCENDING_WEIGHT);
        return Arrays.stream(ranked).limit(limit).map(Ranked::member).toList();
    }

    /**
     * Returns the members in the order of {@link #top}, each one found when it is asked for. Costs less than a sort if only the
     * first few are asked for.
     *
     * @param key the key
     * @param members the candidates in any order
     * @param name returns a member's unique name
     * @param <T> type of a member
     * @return the members in descending order of their weight, the owner first
     */
    public static <T> Iterator<T> order(String key, Collection<T> members, Function<? super T, String> name) {
        long keyHash = hash(key);
        PriorityQueue<Ranked<T>> ranked = new PriorityQueue<>(Math.max(1, members.size()), Ranked.BY_DESCENDING_WEIGHT);
        for (T member : members) {
            String memberName = name.apply(member);
            ranked.add(new Ranked<>(member, memberName, weight(keyHash, hash(memberName))));
        }
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return !ranked.isEmpty();
            }

            @Override
            public T next() {
                return ranked.remove().member();
            }
        };
    }

    private record Ranked<T>(T member, String name, long weight) {
        private static final Comparator<Ranked<?>> BY_DESCENDING_WEIGHT = (left, right) -> {
            int order = Long.compareUnsigned(right.weight, left.weight);
            return order != 0 ? order : left.name.compareTo(right.name);
        };
    }
}
