package org.cowslipbank.decision.membership;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Sorted map that shares its entries with the state it was forked from until the first write. Steps that change nothing
 * copy nothing, and an earlier state never changes. The order makes every step independent of hash seeds.
 */
final class CowMap<K extends Comparable<K>, V> {
    private TreeMap<K, V> entries;
    private boolean owned;

    CowMap() {
        this(new TreeMap<>(), true);
    }

    private CowMap(TreeMap<K, V> entries, boolean owned) {
        this.entries = entries;
        this.owned = owned;
    }

    CowMap<K, V> fork() {
        return new CowMap<>(entries, false);
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

    /** Read-only view. Copy it before iterating over it with writes. */
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
