import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

/** What an engine moves to and from cache stores: one transfer after the other over its link. */
final class Transfers {
    private static final long FIRST_MILLIS = 6;
    private static final long DEAD_SOURCE_MILLIS = 300;
    private static final double TOKENS_READ_PER_MILLI = 66.2;
    private static final double TOKEN_BITS = 163_840 * 8.0;
    private static final double LINK_BITS_PER_MILLI = 180_000e3;

    /** Receives what a request has taken from a store. */
    interface Observer {
        void onFetched(String requestId, String part, boolean whole, boolean inTime);

        void onSaved(String requestId, String part);
    }

    /** Parts that an engine keeps itself; the least recently used ones yield. */
    private static final int KEPT_PARTS = 12;

    private final Map<String, CacheStore> stores;
    private final Map<String, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > KEPT_PARTS;
        }
    };
    private final Observer observer;
    private final ReentrantLock link = new ReentrantLock(true);

    Transfers(Map<String, CacheStore> stores, Observer observer) {
        this.stores = stores;
        this.observer = observer;
    }

    private static long millis(int tokens) {
        return FIRST_MILLIS + Math.round(tokens * TOKEN_BITS / LINK_BITS_PER_MILLI);
    }

    /** Reads the prompt of a request: fetches parts, computes the others and saves what is asked for. */
    void readPrompt(Http.Message request, long queuedMillis) throws InterruptedException, IOException {
        // A request waits for its turn in the engine's batch before it begins.
        Thread.sleep(queuedMillis);
        String id = request.header("X-Request-Id", "");
        String salt = request.header("X-Cache-Salt", "");
        String[] parts = request.header("X-Prefix-Hash", "").split(",");
        String[] fetch = request.header("X-Kv-Fetch", "-").split(",");
        String[] save = request.header("X-Kv-Save", "-").split(",");
        long until = Long.parseLong(request.header("X-Kv-Until", "0"));
        for (int index = 0; index < parts.length; index++) {
            String part = parts[index].split(":")[0];
            int tokens = Integer.parseInt(parts[index].split(":")[1]);
            CacheStore from = index < fetch.length ? stores.get(fetch[index]) : null;
            boolean read = isKept(salt, part) || from != null && fetch(id, salt, part, from, until);
            if (!read) {
                Thread.sleep(Math.round(tokens / TOKENS_READ_PER_MILLI));
            }
            keep(salt, part);
            CacheStore to = index < save.length ? stores.get(save[index]) : null;
            if (to != null) {
                Http.daemon(() -> save(id, salt, part, tokens, to));
            }
        }
    }

    private synchronized boolean isKept(String salt, String part) {
        return kept.get(salt + " " + part) != null;
    }

    private synchronized void keep(String salt, String part) {
        kept.put(salt + " " + part, true);
    }

    private boolean fetch(String id, String salt, String part, CacheStore store, long until)
            throws InterruptedException {
        if (store.isDark()) {
            Thread.sleep(DEAD_SOURCE_MILLIS);
            return false;
        }
        link.lock();
        try {
            CacheStore.Part found = store.find(salt, part);
            if (found == null) {
                Thread.sleep(1);
                return false;
            }
            boolean whole = found.whole;
            Thread.sleep(millis(found.tokens));
            boolean inTime = System.currentTimeMillis() <= until && !store.isDark();
            observer.onFetched(id, part, whole, inTime);
            return inTime;
        } finally {
            link.unlock();
        }
    }

    private void save(String id, String salt, String part, int tokens, CacheStore store) throws InterruptedException {
        link.lock();
        try {
            CacheStore.Part reserved = store.reserve(salt, part, tokens);
            if (reserved != null) {
                Thread.sleep(millis(tokens));
                store.complete(salt, part, reserved);
                observer.onSaved(id, part);
            }
        } finally {
            link.unlock();
        }
    }
}
