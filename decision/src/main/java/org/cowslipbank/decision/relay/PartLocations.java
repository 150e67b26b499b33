package org.cowslipbank.decision.relay;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.model.BoundedMap;
import org.cowslipbank.model.relay.UpstreamServer;

/**
 * Engines that probably hold the shared part of a prompt, as far as this node knows from its own placements. Home engines
 * that have been up for long enough with their weight version are assumed to hold their parts.
 *
 * <p>Part and engine are known by short hashes. The hash of the part covers its cache scope, and that of the engine its
 * incarnation, so that an entry is no longer found once the engine has restarted or loaded another weight version, or the
 * group of teams has changed. A wrong entry costs one computation of the part. Confined to the traffic thread.
 */
public final class PartLocations {
    /** Time after its last use for which an entry is valid; engines under load evict parts within some seconds. */
    public static final long VALID_MILLIS = 20_000;

    /**
     * Time for which an engine must have been up with a weight version before its home parts are assumed to be there. Parts
     * return two to three times in 34 s, so after 12 s most parts that are in use have been placed there again.
     */
    static final long RETURN_MILLIS = 12_000;

    /** Time after which a placed part has been computed; a long prompt takes a busy engine up to about 400 ms. */
    static final long COMPUTED_MILLIS = 500;

    /** Parts in the table; a node that places 60 parts a second names 1,200 within the validity. */
    static final int MAX_PARTS = 4_000;

    /** Engines listed for one part; the engine whose last use is the oldest is replaced. */
    static final int MAX_ENGINES_PER_PART = 8;

    /** Use of a part at one engine. */
    private static final class Use {
        private final long firstMillis;
        private long lastMillis;

        private Use(long lastMillis) {
            this.firstMillis = lastMillis;
            this.lastMillis = lastMillis;
        }
    }

    /** The parts; a use moves its part to the end. */
    private final Map<Integer, Map<Integer, Use>> usesByPart;

    private final UpstreamAges ages;
    /** True if look-ups move parts and take over versions. */
    private final boolean countsUses;
    /** The part that is the last of the table if it is there, so that the look-ups of all engines move it once. */
    private int lastPart;

    /** Creates an empty table. */
    public PartLocations() {
        this(BoundedMap.byAddition(MAX_PARTS), new UpstreamAges(), true);
    }

    private PartLocations(Map<Integer, Map<Integer, Use>> usesByPart, UpstreamAges ages, boolean countsUses) {
        this.usesByPart = usesByPart;
        this.ages = ages;
        this.countsUses = countsUses;
    }

    /**
     * Returns a table in which look-ups do not count as uses of a part, and so do not change which parts are dropped first.
     * Nothing must be recorded in it.
     *
     * @return a view of this table, to be used before it changes
     */
    public PartLocations forReading() {
        return new PartLocations(Collections.unmodifiableMap(usesByPart), ages, false);
    }

    /**
     * Returns the hash by which a shared part is known.
     *
     * @param scope the cache scope, which names the model, the weight version and the group of teams
     * @param affinityKey identifier of the last shared part
     * @return the 32-bit hash
     */
    public static int partHash(String scope, String affinityKey) {
        return FleetLoads.shortHash(Rendezvous.key(scope, affinityKey));
    }

    /**
     * Returns the hash by which an engine is known.
     *
     * @param engine the engine
     * @return the 32-bit hash of its incarnation
     */
    public static int engineHash(UpstreamServer engine) {
        return FleetLoads.shortHash(engine.incarnation());
    }

    /**
     * Records that this node has placed a request, and removes entries that have expired.
     *
     * @param part hash of the request's shared part
     * @param sharedTokens its length in tokens
     * @param engine hash of the engine
     * @param nowMillis the time in milliseconds
     */
    public void onPlaced(int part, int sharedTokens, int engine, long nowMillis) {
        if (sharedTokens <= 0) {
            return;
        }
        removeExpired(nowMillis);
        Map<Integer, Use> uses = find(part);
        if (uses == null) {
            uses = new HashMap<>();
            putLast(part, uses);
        }
        Use use = uses.get(engine);
        if (use == null) {
            if (uses.size() >= MAX_ENGINES_PER_PART) {
                removeOldest(uses);
            }
            uses.put(engine, new Use(nowMillis));
        } else {
            use.lastMillis = Math.max(use.lastMillis, nowMillis);
        }
    }

    /**
     * Records that an engine did not take a request that had been placed there. An entry of an earlier request stays: an engine
     * that is full rejects requests and still holds its parts.
     *
     * @param part hash of the request's shared part
     * @param engine hash of the engine
     * @param placedMillis when the request was placed, in milliseconds
     */
    public void onNotRun(int part, int engine, long placedMillis) {
        Map<Integer, Use> uses = find(part);
        Use use = uses == null ? null : uses.get(engine);
        if (use != null && use.firstMillis >= placedMillis) {
            uses.remove(engine);
        }
    }

    /** Returns the engines of a part, null if there are none. */
    private Map<Integer, Use> find(int part) {
        Map<Integer, Use> uses = usesByPart.get(part);
        if (countsUses && uses != null && part != lastPart) {
            usesByPart.remove(part);
            putLast(part, uses);
        }
        return uses;
    }

    private void putLast(int part, Map<Integer, Use> uses) {
        usesByPart.put(part, uses);
        lastPart = part;
    }

    private void removeExpired(long nowMillis) {
        // The order is that of the last look-up, so that parts which nobody asks for come first.
        Iterator<Map<Integer, Use>> oldest = usesByPart.values().iterator();
        while (oldest.hasNext()) {
            Map<Integer, Use> uses = oldest.next();
            uses.values().removeIf(use -> nowMillis - use.lastMillis >= VALID_MILLIS);
            if (!uses.isEmpty()) {
                return;
            }
            oldest.remove();
        }
    }

    private static void removeOldest(Map<Integer, Use> uses) {
        uses.entrySet().stream()
                .min((left, right) -> Long.compare(left.getValue().lastMillis, right.getValue().lastMillis))
                .map(Map.Entry::getKey)
                .ifPresent(uses::remove);
    }

    /**
     * Returns whether any engine is listed for a part. Saves the look-up of each engine for most parts.
     *
     * @param part hash of the part
     * @return false if {@link #isHeldAt} is false for all engines
     */
    public boolean isListed(int part) {
        return usesByPart.containsKey(part);
    }

    /**
     * Returns whether an engine is listed for a part.
     *
     * @param part hash of the part
     * @param engine hash of the engine
     * @param nowMillis the time in milliseconds
     * @return true if a request with the part was placed at the engine recently, as far as this node knows
     */
    public boolean isHeldAt(int part, int engine, long nowMillis) {
        Map<Integer, Use> uses = find(part);
        Use use = uses == null ? null : uses.get(engine);
        return use != null && nowMillis - use.lastMillis < VALID_MILLIS;
    }

    /**
     * Returns whether an engine is listed for a part for long enough to have computed it, so that others may fetch it there.
     *
     * @param part hash of the part
     * @param engine hash of the engine
     * @param nowMillis the time in milliseconds
     * @return false while the first request with the part may still be computed there
     */
    public boolean isComputedAt(int part, int engine, long nowMillis) {
        return isHeldAt(part, engine, nowMillis) && nowMillis - find(part).get(engine).firstMillis >= COMPUTED_MILLIS;
    }

    /**
     * Returns whether the parts whose home an engine is have probably been computed there.
     *
     * @param home the engine
     * @param model the model
     * @param version the weight version that it is known to have loaded
     * @param nowMillis the time in milliseconds
     * @return false until the engine has been up with the version for as long as parts take to return
     */
    public boolean isSettled(UpstreamServer home, String model, long version, long nowMillis) {
        return ages.upMillis(home, model, version, nowMillis, countsUses) >= RETURN_MILLIS;
    }

    /**
     * Takes over the registered upstreams, whose starts and versions show since when they hold parts.
     *
     * @param servers all registered upstreams
     * @param wallMillis the time of day in Unix milliseconds
     * @param nowMillis the time in milliseconds
     */
    public void setUpstreams(Collection<UpstreamServer> servers, long wallMillis, long nowMillis) {
        ages.setUpstreams(servers, wallMillis, nowMillis);
    }

    /**
     * Returns the number of parts in the table.
     *
     * @return the number, with some entries that have expired
     */
    public int size() {
        return usesByPart.size();
    }
}
