package org.cowslipbank.decision.membership;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Sorted copy-on-write map. A fork shares its entries with the original until the first write, so a step that changes
 * nothing copies nothing, and earlier states never change. The sort order makes every step independent of hash seeds.
 */
final class CopyOnWriteMap<K extends Comparable<K>, V> {
    private TreeMap<K, V> entries;
    private boolean owned;

    CopyOnWriteMap() {
        this(new TreeMap<>(), true);
    }

    private CopyOnWriteMap(TreeMap<K, V> entries, boolean owned) {
        this.entries = entries;
        this.owned = owned;
    }

    CopyOnWriteMap<K, V> fork() {
        return new CopyOnWriteMap<>(entries, false);
    }

    V get(K key) {
        return entries.get(key);
    }

    void put(K key, V value) {
        writable().put(key, value);
    }

    V remove(K key) {
        return entries.containsKey(key) ? writable().remove(key) : null;
    }

    void clear() {
        entries = new TreeMap<>();
        owned = true;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    int size() {
        return entries.size();
    }

    /** Returns a read-only view. Copy it before writing to the map during an iteration. */
    SortedMap<K, V> view() {
        return Collections.unmodifiableSortedMap(entries);
    }

    private Map<K, V> writable() {
        if (!owned) {
            entries = new TreeMap<>(entries);
            owned = true;
        }
        return entries;
    }
}
