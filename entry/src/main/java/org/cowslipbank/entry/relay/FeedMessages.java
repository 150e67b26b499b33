package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.ports.relay.EngineControl.CacheChange;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Messages between the members of a group and their hub, encoded as MessagePack. */
final class FeedMessages {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private FeedMessages() {}

    /**
     * A member's poll.
     *
     * @param revision revision of the metadata store up to which the member has all changes
     * @param stores number of the next change by name of the cache store: zero requests all parts,
     *     {@link #UNREACHABLE} says that the member knows that the hub cannot reach the store
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record PollRequest(long revision, Map<String, Long> stores) {
        /** The hub's last answer said that it cannot reach the store. */
        static final long UNREACHABLE = -1;
    }

    /**
     * A hub's answer to a poll.
     *
     * @param revision revision of the metadata store up to which the items are complete
     * @param items items changed since the member's revision
     * @param confirmedAgeMillis time since the hub last knew to be up to date with the metadata store, in milliseconds
     * @param heldMillis how long the hub held the poll, in milliseconds
     * @param contactBackAgeMillis time since the hub last regained contact with the metadata store, in milliseconds
     * @param stores changes by name of the cache store; a missing store cannot be reached by the hub
     * @param storeAges age of what the hub knows of these cache stores, by their names; hubs of earlier releases do not state it,
     *     and members of earlier releases cannot read it
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record PollAnswer(
            long revision,
            List<ItemMessage> items,
            long confirmedAgeMillis,
            long heldMillis,
            long contactBackAgeMillis,
            Map<String, CacheChangesMessage> stores,
            @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, CacheStoreAge> storeAges) {
        /** Takes a missing map of ages for an empty one. */
        PollAnswer {
            storeAges = storeAges == null ? Map.of() : storeAges;
        }

        /** Returns the same answer for a member of an earlier release. */
        PollAnswer withoutStoreAges() {
            return new PollAnswer(
                    revision, items, confirmedAgeMillis, heldMillis, contactBackAgeMillis, stores, Map.of());
        }
    }

    /**
     * Age of what a hub knows of a cache store.
     *
     * @param answerMillis time since the store's last answer, in milliseconds
     * @param epochMillis how long the store has had its epoch, as far as the hub knows, in milliseconds
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record CacheStoreAge(long answerMillis, long epochMillis) {
        private boolean isValid() {
            return answerMillis >= 0 && epochMillis >= 0;
        }
    }

    /** An item of the metadata store, encoded as an array; the value is null if the item was removed. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"key", "value", "revision", "createRevision", "lease"})
    record ItemMessage(String key, byte[] value, long revision, long createRevision, long lease) {
        static ItemMessage of(StoreItem item) {
            return new ItemMessage(item.key(), item.value(), item.revision(), item.createRevision(), item.lease());
        }

        StoreItem decode() {
            return new StoreItem(key, value, revision, createRevision, lease);
        }
    }

    /** Changes of a cache store, encoded as an array; {@code clockMillis} is -1 if the clock is not known. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"epoch", "next", "lost", "clockMillis", "changes"})
    record CacheChangesMessage(
            long epoch, long next, boolean lost, long clockMillis, List<CacheChangeMessage> changes) {
        private static final long UNKNOWN_CLOCK = -1;

        static CacheChangesMessage of(CacheChanges changes) {
            return new CacheChangesMessage(
                    changes.epoch(),
                    changes.nextCursor(),
                    changes.lost(),
                    changes.clockMillis().orElse(UNKNOWN_CLOCK),
                    changes.changes().stream().map(CacheChangeMessage::of).toList());
        }

        boolean isComplete() {
            return changes != null
                    && changes.stream()
                            .allMatch(change -> change != null && change.scope() != null && change.partId() != null);
        }

        CacheChanges decode() {
            OptionalLong clock = clockMillis == UNKNOWN_CLOCK ? OptionalLong.empty() : OptionalLong.of(clockMillis);
            return new CacheChanges(
                    epoch,
                    next,
                    lost,
                    clock,
                    changes.stream().map(CacheChangeMessage::decode).toList());
        }
    }

    /** A change of one part in a cache store, encoded as an array. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"added", "scope", "partId", "tokens"})
    record CacheChangeMessage(boolean added, String scope, String partId, int tokens) {
        static CacheChangeMessage of(CacheChange change) {
            return new CacheChangeMessage(change.added(), change.scope(), change.partId(), change.tokens());
        }

        CacheChange decode() {
            return new CacheChange(added, scope, partId, tokens);
        }
    }

    static byte[] encode(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode hub feed message", e);
        }
    }

    static PollRequest decodePollRequest(byte[] bytes) throws IOException {
        PollRequest poll = MessagePackReader.read(MAPPER, bytes, PollRequest.class);
        if (poll.stores() == null || poll.stores().containsValue(null)) {
            throw new IOException("hub feed poll lacks the field stores, or a position in one");
        }
        return poll;
    }

    static PollAnswer decodePollAnswer(byte[] bytes) throws IOException {
        PollAnswer answer = MessagePackReader.read(MAPPER, bytes, PollAnswer.class);
        if (answer.items() == null || answer.stores() == null) {
            throw new IOException("hub feed answer lacks the field items or stores");
        }
        if (!answer.items().stream().allMatch(item -> item != null && item.key() != null)) {
            throw new IOException("hub feed answer has an item without a key");
        }
        if (!answer.stores().values().stream().allMatch(changes -> changes != null && changes.isComplete())) {
            throw new IOException("hub feed answer has incomplete changes of a cache store");
        }
        if (!answer.storeAges().values().stream().allMatch(age -> age != null && age.isValid())) {
            throw new IOException("hub feed answer has a negative age of a cache store, or none");
        }
        return answer;
    }
}
