package org.cowslipbank.ports.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cowslipbank.model.relay.StoreItem;
import reactor.core.publisher.Mono;

/**
 * Client of the platform's metadata store. Every call counts against one rate limit shared by all nodes. Errors are of
 * type {@link org.cowslipbank.model.PeerException}; the run state is unknown if a write may still take effect.
 *
 * <p>The store may be restored from a copy that is some seconds old; it then loses what was written and the leases that
 * were granted since. Each restore begins a new era. Revisions are never given out twice: those of a later era are larger
 * than all earlier ones. A lease, an expected revision and a watched revision of an earlier era count as ended, different
 * and compacted.
 */
public interface MetadataStore {
    /** Expected revision of a key that must not exist yet. */
    long ABSENT = 0;

    /** Length of a row of an answer without its key and value, in bytes: names of fields, revisions and a lease. */
    int ROW_BYTES = 100;

    /**
     * All items whose keys have a common prefix.
     *
     * @param items the items
     * @param revision store revision at which they were read
     * @param era the store's era, zero if it names none
     */
    record Range(List<StoreItem> items, long revision, long era) {
        /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
        public Range {
            items = List.copyOf(items);
        }

        /**
         * Returns about how long the answer was, with values in base64.
         *
         * @return the length in bytes
         */
        public long encodedBytes() {
            return items.stream()
                    .mapToLong(item -> ROW_BYTES + item.key().length() + item.value().length * 4L / 3)
                    .sum();
        }
    }

    /**
     * Changes after a revision.
     *
     * @param items the changed items in order; empty if nothing changed during the wait
     * @param revision store revision from which to watch next
     */
    record Changes(List<StoreItem> items, long revision) {
        /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
        public Changes {
            items = List.copyOf(items);
        }
    }

    /**
     * A value to write.
     *
     * @param key the key
     * @param value the value
     * @param lease identifier of the lease whose expiry or revocation removes the key, zero for none
     */
    record Write(String key, byte[] value, long lease) {}

    /**
     * A granted lease.
     *
     * @param id its identifier
     * @param ttlMillis its lifetime in milliseconds, counted from the arrival of the call at the store
     */
    record Lease(long id, long ttlMillis) {}

    /**
     * What is heard of the store in answers to ranges and watches.
     *
     * @param arriving whether an answer has begun and not ended
     * @param silentMillis time since the last bytes came, in milliseconds; {@link Long#MAX_VALUE} if none ever did
     */
    record Contact(boolean arriving, long silentMillis) {
        /** No answer has ever come. */
        public static final Contact NONE = new Contact(false, Long.MAX_VALUE);
    }

    /**
     * Returns what is heard of the store.
     *
     * @return the contact; {@link Contact#NONE} of a client that does not tell
     */
    default Contact contact() {
        return Contact.NONE;
    }

    /**
     * Reads all items with a prefix, page by page.
     *
     * @param prefix the prefix
     * @return the items of a linearizable read
     */
    Mono<Range> range(String prefix);

    /**
     * Waits for changes of keys with a prefix (long poll).
     *
     * @param prefix the prefix
     * @param afterRevision only changes after this revision are returned
     * @param waitMillis the longest wait in milliseconds
     * @param maxBytes the longest answer to read, in bytes
     * @return the changes, or empty if the answer is longer, the store has compacted this part of its history or was restored
     *     since
     */
    Mono<Optional<Changes>> watch(String prefix, long afterRevision, long waitMillis, long maxBytes);

    /**
     * Waits for changes of keys with a prefix (long poll), however many there are.
     *
     * @param prefix the prefix
     * @param afterRevision only changes after this revision are returned
     * @param waitMillis the longest wait in milliseconds
     * @return the changes, or empty as for a limited answer
     */
    default Mono<Optional<Changes>> watch(String prefix, long afterRevision, long waitMillis) {
        return watch(prefix, afterRevision, waitMillis, Long.MAX_VALUE);
    }

    /**
     * Writes a value if keys have the expected revisions.
     *
     * @param write the key, value and lease
     * @param expectedRevisions the expected revision by key, {@link #ABSENT} if the key must not exist
     * @return the new revision, or empty if a revision differed or the lease has expired or been revoked
     */
    Mono<Optional<Long>> writeIf(Write write, Map<String, Long> expectedRevisions);

    /**
     * Writes a value unconditionally.
     *
     * @param write the key, value and lease
     * @return the new revision, or empty if the lease has expired or been revoked
     */
    Mono<Optional<Long>> write(Write write);

    /**
     * Removes a key if it has the expected revision.
     *
     * @param key the key
     * @param expectedRevision its revision
     * @return true if it was removed, false if it has another revision or does not exist
     */
    Mono<Boolean> removeIf(String key, long expectedRevision);

    /**
     * Grants a lease.
     *
     * @param ttlMillis the requested lifetime in milliseconds
     * @return the lease
     */
    Mono<Lease> grantLease(long ttlMillis);

    /**
     * Renews a lease.
     *
     * @param lease its identifier
     * @return its lifetime in milliseconds, counted from the arrival of the call at the store, or empty if it
     *     has expired or been revoked
     */
    Mono<Optional<Long>> renewLease(long lease);

    /**
     * Revokes a lease and removes its keys.
     *
     * @param lease its identifier
     * @return completes when the store has answered
     */
    Mono<Void> endLease(long lease);
}
