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

import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.PromptPart;

/**
 * Index of the prompt parts that each cache store holds completely, built from the stores' change events. A part that
 * is still being written, or whose write was interrupted, must not be read, so engines get the address of a part only
 * after the store has sent an event for it. Confined to the traffic thread.
 *
 * <p>A store that restarts is empty, and a fetch names only its address, so a fetch that was planned before a restart would
 * read what is written after it. Two rules keep them apart, without an agreement between nodes. A store's answer is a lease:
 * fetches planned by it end within {@link #ANSWER_LEASE_MILLIS} of it on the upstreams' clock, at which engines discard them,
 * however long the answer, the plan or the request was under way. And a node lets nothing be saved in a store until it has
 * known the store's epoch for {@link #SAVE_DELAY_MILLIS}, when the leases of the epoch before have ended.
 *
 * <p>A save bears neither an epoch nor a deadline, so one that was planned before a restart may be carried out after it. It
 * meets a fetch if several nodes let the same part be saved. Nodes therefore take turns when an epoch has begun, plan saves by
 * recent answers only, and let none wait at an engine that has no free slot. While an epoch is young, when most of its saves
 * are planned, fetches end {@link #YOUNG_EPOCH_LEASE_MILLIS} after the store's answer, before a store that is away for longer
 * is back.
 */
public final class CacheIndex {
    /**
     * How long the index of a store is used after the store's last answer. Covers an answer that reaches a node through its
     * hub: the hub's call waits for 400 ms, 250 ms after the one before; the node's poll is held for 1,000 ms, 250 ms after the
     * one before; changes are batched for 100 ms. The rest is for the transfers and for VMs that are short of processor time.
     */
    public static final long ANSWER_VALID_MILLIS = 3_000;

    /** Time without an event after which a part is saved again. Events arrive up to 100 ms late, and few are lost. */
    static final long SAVE_RETRY_MILLIS = 2_500;

    /**
     * How long an engine may take to fetch parts. Computing a long prompt takes only 200 ms, but computing a shared
     * part again delays the other requests more than a slow link delays this one.
     */
    public static final long FETCH_TIMEOUT_MILLIS = 1_500;

    /** Longest time from a store's answer to the end of a fetch that was planned by it. */
    static final long ANSWER_LEASE_MILLIS = ANSWER_VALID_MILLIS + FETCH_TIMEOUT_MILLIS;

    /**
     * How long the index of a store is used for saves after the store's last answer. Covers a call for changes that waits for
     * 400 ms, 250 ms after the one before. The rest is for the transfer.
     */
    static final long SAVE_ANSWER_VALID_MILLIS = 800;

    /** How long an epoch is young: until the first saves of all nodes have been planned, and 5 s for them to end. */
    static final long YOUNG_EPOCH_MILLIS = 15_000;

    /**
     * How long the index of a store is used in a young epoch after the store's last answer. A store with changes answers every
     * 250 ms; the rest is for the transfers.
     */
    static final long YOUNG_EPOCH_ANSWER_VALID_MILLIS = 450;

    /**
     * Longest time from a store's answer in a young epoch to the end of a fetch that was planned by it. Leaves 250 ms for the
     * fetch, which takes some tens of milliseconds on a free link.
     */
    static final long YOUNG_EPOCH_LEASE_MILLIS = YOUNG_EPOCH_ANSWER_VALID_MILLIS + 250;

    /** Covers differences between the clocks of engines and stores, and suspensions that are not noticed. */
    private static final long CLOCK_MARGIN_MILLIS = 500;

    /** How long a node must have known the epoch of a store before it lets parts be saved there. */
    public static final long SAVE_DELAY_MILLIS = ANSWER_LEASE_MILLIS + CLOCK_MARGIN_MILLIS;

    /** Key of a part: its identifier within a cache scope. */
    private record PartKey(String scope, String partId) {}

    /** Index of one store. */
    private static final class StoreIndex {
        private long epoch;
        private long answeredAtMillis = Long.MIN_VALUE;
        private final Map<PartKey, Integer> tokensByPart = new HashMap<>();
        private final Map<PartKey, Long> saveRequestedAtMillis = new HashMap<>();
    }

    /**
     * Store addresses for the parts of a prompt, one entry for each part; an empty string means none.
     *
     * @param fetchFrom address of the store, or of the engine, from which each part is fetched
     * @param saveTo address of the store to which each part is saved
     */
    public record Plan(List<String> fetchFrom, List<String> saveTo) {
        /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
        public Plan {
            fetchFrom = List.copyOf(fetchFrom);
            saveTo = List.copyOf(saveTo);
        }

        /**
         * Returns the same plan without saves.
         *
         * @return the plan
         */
        public Plan withoutSaves() {
            return new Plan(fetchFrom, List.of());
        }

        /**
         * Returns the same plan, with the shared parts that no store has fetched from an engine.
         *
         * @param address the engine's address
         * @return the plan
         */
        public Plan withEngine(String address) {
            List<String> sources = new ArrayList<>(fetchFrom);
            // The last part belongs to the request alone.
            for (int index = 0; index < sources.size() - 1; index++) {
                if (sources.get(index).isEmpty()) {
                    sources.set(index, address);
                }
            }
            return new Plan(sources, saveTo);
        }
    }

    private final StoreEpochs epochs = new StoreEpochs();
    private SaveTurns saveTurns = new SaveTurns("", List.of());
    private OptionalLong clocksApartMillis = OptionalLong.empty();
    private final Map<String, StoreIndex> indexByAddress = new HashMap<>();
    /** Offset between the upstreams' clock, as each store states it, and this node's clock in milliseconds. */
    private final Map<String, Long> clockOffsetMillisByAddress = new HashMap<>();

    /**
     * Records an answer of a store.
     *
     * @param address the store's address
     * @param epoch the store's epoch, which changes when it restarts; a new epoch clears its index
     * @param restart true if events were lost, so that the index is rebuilt from empty
     * @param answeredAtMillis the time on this node's clock, in milliseconds, that corresponds to the clock in the answer, see
     *     {@link #onUpstreamClock}, which has to be called before. The store had this epoch by then
     */
    public void onStoreAnswer(String address, long epoch, boolean restart, long answeredAtMillis) {
        StoreIndex storeIndex = indexByAddress.computeIfAbsent(address, key -> new StoreIndex());
        if (storeIndex.epoch != epoch || restart) {
            storeIndex.tokensByPart.clear();
            storeIndex.saveRequestedAtMillis.clear();
        }
        storeIndex.epoch = epoch;
        storeIndex.answeredAtMillis = answeredAtMillis;
        epochs.onAnswer(address, epoch, answeredAtMillis, upstreamClockMillis(address, answeredAtMillis));
    }

    /**
     * Sets the nodes that take turns in saving parts when the epoch of a store has begun.
     *
     * @param self name of this node
     * @param nodes names of all nodes
     */
    public void setNodes(String self, Collection<String> nodes) {
        saveTurns = new SaveTurns(self, List.copyOf(nodes));
    }

    /**
     * Compares this node's clocks, before an answer is recorded and before a plan. The monotonic clock stops while the VM is
     * suspended, so that answers would appear newer than they are.
     *
     * @param now the time on both clocks
     */
    public void onClocksRead(LeaderLease.ClockReading now) {
        long apartMillis = now.wallMillis() - now.monotonicMillis();
        long missedMillis = apartMillis - clocksApartMillis.orElse(apartMillis);
        clocksApartMillis = OptionalLong.of(apartMillis);
        if (missedMillis > CLOCK_MARGIN_MILLIS) {
            indexByAddress.values().forEach(storeIndex -> storeIndex.answeredAtMillis -= missedMillis);
        }
    }

    /**
     * Records that another node has known the epoch of a store for longer than this one.
     *
     * @param address the store's address
     * @param epoch the epoch; ignored if it is not the one of the last answer
     * @param sinceMillis a time at which the store was already in it, in milliseconds
     */
    public void onEpochKnownElsewhere(String address, long epoch, long sinceMillis) {
        epochs.onKnownElsewhere(address, epoch, sinceMillis);
    }

    /**
     * Forgets the epoch of a store that has restarted with the same number.
     *
     * @param address the store's address
     */
    public void onEpochRepeated(String address) {
        epochs.forget(address);
    }

    /**
     * Returns whether an answer is of an epoch before the one that this node knows, so that it must not be used.
     *
     * @param address the store's address
     * @param epoch the epoch of the answer
     * @param clockMillis the upstreams' clock when the store gave the answer, in milliseconds; empty if not stated
     * @return true for an answer of an earlier epoch
     */
    public boolean isOutdated(String address, long epoch, OptionalLong clockMillis) {
        return epochs.isOutdated(address, epoch, clockMillis);
    }

    /**
     * Returns how long a store has had its epoch, as far as this node knows, also while it is out of reach.
     *
     * @param address the store's address
     * @param nowMillis the time in milliseconds
     * @return the time in milliseconds, empty if no epoch is known
     */
    public OptionalLong epochKnownMillis(String address, long nowMillis) {
        return epochs.knownMillis(address, nowMillis);
    }

    /**
     * Records the offset between the upstreams' clock and this node's clock. An answer that was on its way for long makes
     * the upstreams' clock appear slow, so that deadlines err to the early side; so does a suspension of this VM.
     *
     * @param address the store that states the clock
     * @param clockMillis the upstreams' clock as stated in an answer, in milliseconds
     * @param nowMillis the time on this node's clock at which the answer arrived, in milliseconds
     */
    public void onUpstreamClock(String address, long clockMillis, long nowMillis) {
        clockOffsetMillisByAddress.put(address, clockMillis - nowMillis);
    }

    /**
     * Returns an estimate of the upstreams' clock that is not ahead of it.
     *
     * @param address the store whose clock is estimated
     * @param nowMillis the time on this node's clock, in milliseconds
     * @return the time in milliseconds, or empty if the store has not stated its clock
     */
    public OptionalLong upstreamClockMillis(String address, long nowMillis) {
        Long offsetMillis = clockOffsetMillisByAddress.get(address);
        return offsetMillis == null ? OptionalLong.empty() : OptionalLong.of(nowMillis + offsetMillis);
    }

    /**
     * Returns an estimate of the upstreams' clock that is not ahead of it, from any store.
     *
     * @param nowMillis the time on this node's clock, in milliseconds
     * @return the earliest of the times that the stores' clocks give, in milliseconds, or empty if no store has stated one
     */
    public OptionalLong anyUpstreamClockMillis(long nowMillis) {
        return clockOffsetMillisByAddress.values().stream()
                .mapToLong(offsetMillis -> nowMillis + offsetMillis)
                .min();
    }

    /**
     * Returns the deadline of a fetch that starts now. An engine abandons a fetch that has not ended by then. It is not after
     * the lease of the answer by which a store's parts are known. Engines state no clock, so a fetch from them alone ends by
     * the clock of any store.
     *
     * @param plan what is fetched
     * @param nowMillis the time in milliseconds
     * @return the deadline on the upstreams' clock in milliseconds, or empty if nothing is fetched
     */
    public OptionalLong fetchDeadlineMillis(Plan plan, long nowMillis) {
        List<String> sources =
                plan.fetchFrom().stream().filter(source -> !source.isEmpty()).toList();
        OptionalLong clockMillis = sources.stream()
                .flatMapToLong(source -> upstreamClockMillis(source, nowMillis).stream())
                .min();
        if (clockMillis.isEmpty() && !sources.isEmpty()) {
            clockMillis = anyUpstreamClockMillis(nowMillis);
        }
        if (clockMillis.isEmpty()) {
            return clockMillis;
        }
        long leaseEndMillis = sources.stream()
                .flatMapToLong(source -> leaseEndMillis(source, nowMillis).stream())
                .min()
                .orElse(Long.MAX_VALUE);
        return OptionalLong.of(Math.min(clockMillis.getAsLong() + FETCH_TIMEOUT_MILLIS, leaseEndMillis));
    }

    /** Returns the end of the lease of a store's last answer, on the upstreams' clock in milliseconds. */
    private OptionalLong leaseEndMillis(String address, long nowMillis) {
        StoreIndex storeIndex = indexByAddress.get(address);
        if (storeIndex == null) {
            return OptionalLong.empty();
        }
        long leaseMillis = hasYoungEpoch(address, nowMillis) ? YOUNG_EPOCH_LEASE_MILLIS : ANSWER_LEASE_MILLIS;
        return upstreamClockMillis(address, storeIndex.answeredAtMillis + leaseMillis);
    }

    private boolean hasYoungEpoch(String address, long nowMillis) {
        return epochs.knownMillis(address, nowMillis).orElse(0) < YOUNG_EPOCH_MILLIS;
    }

    /**
     * Removes the index of a store that no longer answers.
     *
     * @param address the store's address
     */
    public void onStoreLost(String address) {
        indexByAddress.remove(address);
    }

    /**
     * Applies a store's event about one part. Ignored for a store that has not answered yet.
     *
     * @param address the store's address
     * @param scope the cache scope
     * @param partId the part's identifier
     * @param tokens number of tokens stored, zero if the part was removed
     */
    public void onPartEvent(String address, String scope, String partId, int tokens) {
        StoreIndex storeIndex = indexByAddress.get(address);
        if (storeIndex == null) {
            return;
        }
        PartKey key = new PartKey(scope, partId);
        storeIndex.saveRequestedAtMillis.remove(key);
        if (tokens > 0) {
            storeIndex.tokensByPart.put(key, tokens);
        } else {
            storeIndex.tokensByPart.remove(key);
        }
    }

    /**
     * Chooses the stores from which the shared parts of a prompt are fetched and to which the missing ones are saved.
     *
     * @param scope the cache scope
     * @param parts all parts of the prompt; the last one belongs to this request alone and is neither fetched nor saved
     * @param stores the configured stores
     * @param nowMillis the time in milliseconds
     * @return the plan with one entry for each part
     */
    public Plan plan(String scope, List<PromptPart> parts, Collection<CacheStore> stores, long nowMillis) {
        List<String> fetchFrom = new ArrayList<>();
        List<String> saveTo = new ArrayList<>();
        for (int index = 0; index < parts.size(); index++) {
            boolean shared = index < parts.size() - 1;
            PromptPart part = parts.get(index);
            Optional<CacheStore> store = shared ? CacheStoreChoice.storeOf(scope, part.id(), stores) : Optional.empty();
            // Without the clock the fetch has no deadline and could still run when the part is freed.
            String source = store.filter(found -> clockOffsetMillisByAddress.containsKey(found.address()))
                    .filter(found -> isComplete(found.address(), scope, part, nowMillis))
                    .map(CacheStore::address)
                    .orElse("");
            fetchFrom.add(source);
            saveTo.add(store.filter(found -> source.isEmpty())
                    .filter(found -> shouldSave(found.address(), scope, part, nowMillis))
                    .map(CacheStore::address)
                    .orElse(""));
        }
        return new Plan(fetchFrom, saveTo);
    }

    /**
     * Returns how many leading tokens of a prompt can be fetched from stores.
     *
     * @param scope the cache scope
     * @param parts all parts of the prompt
     * @param stores the configured stores
     * @param nowMillis the time in milliseconds
     * @return tokens of the shared parts before the first one that is not complete in its store
     */
    public int storedTokens(String scope, List<PromptPart> parts, Collection<CacheStore> stores, long nowMillis) {
        int tokens = 0;
        for (PromptPart part : parts.subList(0, Math.max(0, parts.size() - 1))) {
            boolean complete = CacheStoreChoice.storeOf(scope, part.id(), stores)
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
     * Records that the saves of a plan were requested, so that other requests do not repeat them.
     *
     * @param scope the cache scope
     * @param parts the parts of the prompt
     * @param plan the plan
     * @param nowMillis the time in milliseconds
     */
    public void onSavesRequested(String scope, List<PromptPart> parts, Plan plan, long nowMillis) {
        for (int index = 0; index < plan.saveTo().size(); index++) {
            StoreIndex storeIndex = indexByAddress.get(plan.saveTo().get(index));
            if (storeIndex != null) {
                storeIndex.saveRequestedAtMillis.put(
                        new PartKey(scope, parts.get(index).id()), nowMillis);
            }
        }
    }

    private boolean isComplete(String address, String scope, PromptPart part, long nowMillis) {
        StoreIndex storeIndex = indexByAddress.get(address);
        long validMillis = hasYoungEpoch(address, nowMillis) ? YOUNG_EPOCH_ANSWER_VALID_MILLIS : ANSWER_VALID_MILLIS;
        return isWithin(validMillis, storeIndex, nowMillis) && isListed(storeIndex, scope, part);
    }

    private static boolean isListed(StoreIndex storeIndex, String scope, PromptPart part) {
        return storeIndex.tokensByPart.getOrDefault(new PartKey(scope, part.id()), 0) >= part.tokens();
    }

    private boolean shouldSave(String address, String scope, PromptPart part, long nowMillis) {
        StoreIndex storeIndex = indexByAddress.get(address);
        if (!isWithin(SAVE_ANSWER_VALID_MILLIS, storeIndex, nowMillis)
                || isListed(storeIndex, scope, part)
                || !isSaveDue(part, epochs.knownMillis(address, nowMillis).orElse(0))) {
            return false;
        }
        Long saveRequestedAtMillis = storeIndex.saveRequestedAtMillis.get(new PartKey(scope, part.id()));
        return saveRequestedAtMillis == null || nowMillis - saveRequestedAtMillis >= SAVE_RETRY_MILLIS;
    }

    private boolean isSaveDue(PromptPart part, long epochKnownMillis) {
        if (epochKnownMillis >= SAVE_DELAY_MILLIS + SaveTurns.MAX_DELAY_MILLIS) {
            return true;
        }
        return epochKnownMillis >= SAVE_DELAY_MILLIS + saveTurns.delayMillis(part.id());
    }

    private static boolean isWithin(long validMillis, StoreIndex storeIndex, long nowMillis) {
        return storeIndex != null && nowMillis - storeIndex.answeredAtMillis < validMillis;
    }

    /**
     * Returns parts of a store whose scope is no longer in use.
     *
     * @param address the store's address
     * @param usedScopes true for a scope that is in use
     * @param limit maximum number of parts returned
     * @return scope and identifier of each part
     */
    public List<Map.Entry<String, String>> partsOfUnusedScopes(
            String address, Predicate<String> usedScopes, int limit) {
        StoreIndex storeIndex = indexByAddress.get(address);
        if (storeIndex == null) {
            return List.of();
        }
        return storeIndex.tokensByPart.keySet().stream()
                .filter(key -> !usedScopes.test(key.scope()))
                .limit(limit)
                .map(key -> Map.entry(key.scope(), key.partId()))
                .toList();
    }

    /**
     * Returns the scopes that have parts in any store.
     *
     * @return the scopes
     */
    public Set<String> scopes() {
        Set<String> scopes = new HashSet<>();
        indexByAddress.values().forEach(store -> store.tokensByPart.keySet().forEach(key -> scopes.add(key.scope())));
        return scopes;
    }

    /**
     * Returns the epoch for which a store's index was built.
     *
     * @param address the store's address
     * @return the epoch, or empty if the store has not answered
     */
    public Optional<Long> storeEpoch(String address) {
        return Optional.ofNullable(indexByAddress.get(address)).map(storeIndex -> storeIndex.epoch);
    }

    /**
     * Returns by what state of stores a plan was made.
     *
     * @param addresses addresses of stores; others are left out
     * @param nowMillis the time of the plan, in milliseconds
     * @return the states of the stores that have an index
     */
    public List<CacheStoreState> states(Collection<String> addresses, long nowMillis) {
        return addresses.stream()
                .filter(indexByAddress::containsKey)
                .distinct()
                .map(address -> state(address, indexByAddress.get(address), nowMillis))
                .toList();
    }

    private CacheStoreState state(String address, StoreIndex storeIndex, long nowMillis) {
        return new CacheStoreState(
                address,
                storeIndex.epoch,
                nowMillis - storeIndex.answeredAtMillis,
                epochs.knownMillis(address, nowMillis).orElse(0));
    }

    /**
     * Returns the number of parts that the index holds as complete.
     *
     * @return the number of parts in all stores
     */
    public int size() {
        return indexByAddress.values().stream()
                .mapToInt(storeIndex -> storeIndex.tokensByPart.size())
                .sum();
    }

    /**
     * Removes the indexes of stores that are no longer configured.
     *
     * @param addresses addresses of the configured stores
     */
    public void retain(Set<String> addresses) {
        indexByAddress.keySet().retainAll(new HashSet<>(addresses));
        clockOffsetMillisByAddress.keySet().retainAll(new HashSet<>(addresses));
        epochs.retain(addresses);
    }
}
