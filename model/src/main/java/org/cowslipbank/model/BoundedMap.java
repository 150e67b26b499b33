package org.cowslipbank.model;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that forgets entries beyond a limit. Not thread-safe.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    private BoundedMap(int maxEntries, boolean byUse) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, byUse);
        this.maxEntries = maxEntries;
    }

    /**
     * Creates a map that forgets the entries which were added first.
     *
     * @param maxEntries the limit
     * @param <K> type of the keys
     * @param <V> type of the values
     * @return the map
     */
    public static <K, V> BoundedMap<K, V> byAddition(int maxEntries) {
        return new BoundedMap<>(maxEntries, false);
    }

    /**
     * Creates a map that forgets the entries which were read or written least recently.
     *
     * @param maxEntries the limit
     * @param <K> type of the keys
     * @param <V> type of the values
     * @return the map
     */
    public static <K, V> BoundedMap<K, V> byUse(int maxEntries) {
        return new BoundedMap<>(maxEntries, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
