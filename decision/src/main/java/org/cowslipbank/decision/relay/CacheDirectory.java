package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.PromptPart;

/**
 * Which parts of prompts lie complete in which store, as the stores' own events tell. A part that is still written, or
 * whose writing broke off, must not be read, so a part is named to engines only after its event. Owned by the traffic
 * thread.
 */
public final class CacheDirectory {
    /** How long a directory of a store is used after its last answer; a store that restarts is away for longer. */
    public static final long VALID_MILLIS = 2_200;

    /** A part that is being saved is not saved again for this time; events come up to 100 ms late, and few are lost. */
    static final long SAVE_PAUSE_MILLIS = 2_500;

    /**
     * How long an engine may take to fetch parts. Reading a long prompt takes 200 ms, but reading a shared part again
     * costs the other requests more than a slow link costs this one.
     */
    public static final long FETCH_MILLIS = 1_500;

    /** Name of a part under a cache scope. */
    private record Named(String scope, String partId) {}

    private static final class Contents {
        private long epoch;
        private long confirmedAtMillis = Long.MIN_VALUE;
        private final Map<Named, Integer> tokens = new HashMap<>();
        private final Map<Named, Long> savedAtMillis = new HashMap<>();
    }

    /**
     * Addresses for the parts of a prompt, an empty text for none.
     *
     * @param fetchFrom where to fetch each part from
     * @param saveTo where to save each part to
     */
    public record Plan(List<String> fetchFrom, List<String> saveTo) {
        /** Copies the lists. */
        public Plan {
            fetchFrom = List.copyOf(fetchFrom);
            saveTo = List.copyOf(saveTo);
        }
    }

    private final Map<String, Contents> byAddress = new HashMap<>();
    private OptionalLong clockAheadMillis = OptionalLong.empty();

    /**
     * Notes that a store has answered.
     *
     * @param address the store
     * @param epoch number of its lifetime; another one empties its directory
     * @param restart true if earlier events are lost, so that the directory starts anew
     * @param nowMillis the time in milliseconds at which the question was sent
     */
    public void onAnswer(String address, long epoch, boolean restart, long nowMillis) {
        Contents contents = byAddress.computeIfAbsent(address, key -> new Contents());
        if (contents.epoch != epoch || restart) {
            contents.tokens.clear();
            contents.savedAtMillis.clear();
        }
        contents.epoch = epoch;
        contents.confirmedAtMillis = nowMillis;
    }

    /**
     * Notes the upstreams' clock.
     *
     * @param clockMillis the clock as an answer gave it, in milliseconds
     * @param nowMillis the time in milliseconds at which the answer came
     */
    public void onClock(long clockMillis, long nowMillis) {
        clockAheadMillis = OptionalLong.of(clockMillis - nowMillis);
    }

    /**
     * Returns when a fetch that begins now is to be thrown away if it has not ended.
     *
     * @param nowMillis the time in milliseconds
     * @return the time on the upstreams' clock in milliseconds, or empty if that clock is not known
     */
    public OptionalLong fetchUntilMillis(long nowMillis) {
        return clockAheadMillis.isPresent()
                ? OptionalLong.of(nowMillis + clockAheadMillis.getAsLong() + FETCH_MILLIS)
                : OptionalLong.empty();
    }

    /**
     * Forgets a store that no longer answers.
     *
     * @param address the store
     */
    public void onLost(String address) {
        byAddress.remove(address);
    }

    /**
     * Notes a part that is complete or gone.
     *
     * @param address the store
     * @param scope the cache scope
     * @param partId the part
     * @param tokens tokens stored, zero if it is gone
     */
    public void onPart(String address, String scope, String partId, int tokens) {
        Contents contents = byAddress.get(address);
        if (contents == null) {
            return;
        }
        Named named = new Named(scope, partId);
        contents.savedAtMillis.remove(named);
        if (tokens > 0) {
            contents.tokens.put(named, tokens);
        } else {
            contents.tokens.remove(named);
        }
    }

    /**
     * Plans the fetches and saves of a prompt's shared parts.
     *
     * @param scope the cache scope
     * @param parts all parts of the prompt; the last one is neither fetched nor saved
     * @param stores the configured stores
     * @param nowMillis the time in milliseconds
     * @return the plan, one address a part
     */
    public Plan plan(String scope, List<PromptPart> parts, Collection<CacheStore> stores, long nowMillis) {
        List<String> fetchFrom = new ArrayList<>();
        List<String> saveTo = new ArrayList<>();
        for (int index = 0; index < parts.size(); index++) {
            boolean shared = index < parts.size() - 1;
            PromptPart part = parts.get(index);
            Optional<CacheStore> store = shared ? storeOf(scope, part.id(), stores) : Optional.empty();
            // A fetch without an end could meet the freeing of its part.
            String source = store.filter(found -> clockAheadMillis.isPresent())
                    .filter(found -> isComplete(found.address(), scope, part, nowMillis))
                    .map(CacheStore::address)
                    .orElse("");
            fetchFrom.add(source);
            saveTo.add(store.filter(found -> source.isEmpty())
                    .filter(found -> maySave(found.address(), scope, part, nowMillis))
                    .map(CacheStore::address)
                    .orElse(""));
        }
        return new Plan(fetchFrom, saveTo);
    }

    /**
     * Returns how many tokens at a prompt's beginning can be fetched from stores.
     *
     * @param scope the cache scope
     * @param parts all parts of the prompt
     * @param stores the configured stores
     * @param nowMillis the time in milliseconds
     * @return tokens of the shared parts up to the first that is not complete in its store
     */
    public int storedTokens(String scope, List<PromptPart> parts, Collection<CacheStore> stores, long nowMillis) {
        int tokens = 0;
        for (PromptPart part : parts.subList(0, Math.max(0, parts.size() - 1))) {
            boolean complete = storeOf(scope, part.id(), stores)
                    .filter(store -> isComplete(store.address(), scope, part, nowMillis))
                    .isPresent();
            if (!complete) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /**
     * Notes the saves of a plan that was sent.
     *
     * @param scope the cache scope
     * @param parts the parts of the prompt
     * @param plan the plan
     * @param nowMillis the time in milliseconds
     */
    public void onSent(String scope, List<PromptPart> parts, Plan plan, long nowMillis) {
        for (int index = 0; index < parts.size(); index++) {
            Contents contents = byAddress.get(plan.saveTo().get(index));
            if (contents != null) {
                contents.savedAtMillis.put(new Named(scope, parts.get(index).id()), nowMillis);
            }
        }
    }

    private boolean isComplete(String address, String scope, PromptPart part, long nowMillis) {
        Contents contents = byAddress.get(address);
        return isValid(contents, nowMillis)
                && contents.tokens.getOrDefault(new Named(scope, part.id()), 0) >= part.tokens();
    }

    private boolean maySave(String address, String scope, PromptPart part, long nowMillis) {
        Contents contents = byAddress.get(address);
        if (!isValid(contents, nowMillis)) {
            return false;
        }
        Long savedAtMillis = contents.savedAtMillis.get(new Named(scope, part.id()));
        return savedAtMillis == null || nowMillis - savedAtMillis >= SAVE_PAUSE_MILLIS;
    }

    private static boolean isValid(Contents contents, long nowMillis) {
        return contents != null && nowMillis - contents.confirmedAtMillis < VALID_MILLIS;
    }

    /**
     * Returns the store that keeps a part. All nodes compute the same one; larger stores keep more parts.
     *
     * @param scope the cache scope
     * @param partId the part
     * @param stores the configured stores
     * @return the store, or empty without stores
     */
    public static Optional<CacheStore> storeOf(String scope, String partId, Collection<CacheStore> stores) {
        long keyHash = Rendezvous.hash(Rendezvous.key(scope, partId));
        CacheStore best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (CacheStore store : stores) {
            // Weighted rendezvous hashing after Schindelhauer and Schomaker, "Weighted distributed hash tables".
            double unit = ((Rendezvous.weight(keyHash, Rendezvous.hash(store.name())) >>> 11) + 0.5) * 0x1p-53;
            double score = store.capacityTokens() / -Math.log(unit);
            if (score > bestScore) {
                bestScore = score;
                best = store;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the parts of a store whose scope is no longer used.
     *
     * @param address the store
     * @param usedScopes tells which scopes are in use
     * @param limit the most parts returned
     * @return scope and identifier of each part
     */
    public List<Map.Entry<String, String>> unused(String address, Predicate<String> usedScopes, int limit) {
        Contents contents = byAddress.get(address);
        if (contents == null) {
            return List.of();
        }
        return contents.tokens.keySet().stream()
                .filter(named -> !usedScopes.test(named.scope()))
                .limit(limit)
                .map(named -> Map.entry(named.scope(), named.partId()))
                .toList();
    }

    /**
     * Returns the lifetime of a store that its directory is of.
     *
     * @param address the store
     * @return the epoch, or empty if the store has not answered
     */
    public Optional<Long> epoch(String address) {
        return Optional.ofNullable(byAddress.get(address)).map(contents -> contents.epoch);
    }

    /**
     * Returns the number of parts known to be complete.
     *
     * @return the number over all stores
     */
    public int size() {
        return byAddress.values().stream()
                .mapToInt(contents -> contents.tokens.size())
                .sum();
    }

    /**
     * Forgets stores that are no longer configured.
     *
     * @param addresses the configured stores
     */
    public void retain(Set<String> addresses) {
        byAddress.keySet().retainAll(new HashSet<>(addresses));
    }
}
