package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.ports.relay.EngineControl.CacheChange;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** What members of a group ask their hub and what it answers, in MessagePack. */
final class FeedMessages {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private FeedMessages() {}

    /**
     * A member's question.
     *
     * @param revision revision of the metadata store up to which it knows everything
     * @param stores where to go on, by name of the cache store: zero for all parts, {@link #LOST} if the member knows
     *     that the hub does not reach it
     */
    record Question(long revision, Map<String, Long> stores) {
        /** The member was told that the hub does not reach the store. */
        static final long LOST = -1;
    }

    /**
     * A hub's answer.
     *
     * @param revision revision of the metadata store up to which the items go
     * @param items what changed since the member's revision
     * @param confirmedAgeMillis how long ago the metadata store had nothing newer, in milliseconds
     * @param heldMillis how long the hub held the question, in milliseconds
     * @param contactBackAgeMillis how long ago the metadata store came back into reach, in milliseconds
     * @param stores changes by name of the cache store; one that is missing is not in reach
     */
    record Answer(
            long revision,
            List<Item> items,
            long confirmedAgeMillis,
            long heldMillis,
            long contactBackAgeMillis,
            Map<String, Parts> stores) {}

    /** An item of the metadata store on the wire: an array; without a value if it was removed. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"key", "value", "revision", "createRevision", "lease"})
    record Item(String key, byte[] value, long revision, long createRevision, long lease) {
        static Item of(StoreItem item) {
            return new Item(item.key(), item.value(), item.revision(), item.createRevision(), item.lease());
        }

        StoreItem decode() {
            return new StoreItem(key, value, revision, createRevision, lease);
        }
    }

    /** Changes of a cache store on the wire: an array; the clock is negative if it is not known. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"epoch", "next", "lost", "clockMillis", "changes"})
    record Parts(long epoch, long next, boolean lost, long clockMillis, List<Part> changes) {
        private static final long UNKNOWN = -1;

        static Parts of(CacheChanges changes) {
            return new Parts(
                    changes.epoch(),
                    changes.next(),
                    changes.lost(),
                    changes.clockMillis().orElse(UNKNOWN),
                    changes.changes().stream().map(Part::of).toList());
        }

        CacheChanges decode() {
            OptionalLong clock = clockMillis == UNKNOWN ? OptionalLong.empty() : OptionalLong.of(clockMillis);
            return new CacheChanges(
                    epoch, next, lost, clock, changes.stream().map(Part::decode).toList());
        }
    }

    /** A change of a cache store on the wire: an array. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"added", "scope", "partId", "tokens"})
    record Part(boolean added, String scope, String partId, int tokens) {
        static Part of(CacheChange change) {
            return new Part(change.added(), change.scope(), change.partId(), change.tokens());
        }

        CacheChange decode() {
            return new CacheChange(added, scope, partId, tokens);
        }
    }

    static byte[] encode(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException("a message cannot be written", e);
        }
    }

    static Question decodeQuestion(byte[] bytes) throws IOException {
        Question question = MAPPER.readValue(bytes, Question.class);
        if (question == null || question.stores() == null) {
            throw new IOException("the question names no stores");
        }
        return question;
    }

    static Answer decodeAnswer(byte[] bytes) throws IOException {
        Answer answer = MAPPER.readValue(bytes, Answer.class);
        if (answer == null || answer.items() == null || answer.stores() == null) {
            throw new IOException("the answer has no items or no stores");
        }
        return answer;
    }
}
