package org.cowslipbank.decision.claims;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** State of every idempotency key of a partition, derived from the log values applied so far. */
final class ClaimIndex {
    /**
     * State of one claimed key.
     *
     * @param fingerprint digest of the claimed request
     * @param token token of the call that holds the claim
     * @param claimedWallMillis time of the claim in milliseconds since the epoch
     * @param finishedSequence sequence of the log value with the answer, zero until the request is finished
     */
    record State(String fingerprint, String token, long claimedWallMillis, long finishedSequence) {}

    // By the window of the key.
    private final TreeMap<Long, Map<ClaimKey, State>> windows = new TreeMap<>();

    State find(ClaimKey key) {
        Map<ClaimKey, State> window = windows.get(key.window());
        return window == null ? null : window.get(key);
    }

    void apply(long sequence, ClaimBatch batch) {
        batch.entries().forEach(entry -> apply(sequence, entry));
    }

    void dropBefore(long window) {
        windows.headMap(window).clear();
    }

    private void apply(long sequence, LogEntry entry) {
        Map<ClaimKey, State> window = windows.computeIfAbsent(entry.key().window(), w -> new HashMap<>());
        State state = window.get(entry.key());
        switch (entry.kind()) {
            case CLAIMED -> {
                // Only the first claim of a key in the log holds it.
                State claimed = new State(entry.fingerprint(), entry.token(), entry.wallMillis(), 0);
                window.putIfAbsent(entry.key(), claimed);
            }
            case FINISHED -> {
                if (isOpen(state, entry.token())) {
                    window.put(
                            entry.key(),
                            new State(state.fingerprint(), state.token(), state.claimedWallMillis(), sequence));
                }
            }
            default -> {
                if (isOpen(state, entry.token())) {
                    window.remove(entry.key());
                }
            }
        }
    }

    // Returns true if the token's claim holds the key and is not finished.
    static boolean isOpen(State state, String token) {
        return state != null && state.finishedSequence() == 0 && state.token().equals(token);
    }
}
