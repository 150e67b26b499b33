package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.FleetLoads;

/** Messages that the release before this one has sent, as recorded, and what it has to skip in those of this one. */
final class EarlierReleaseTest {
    /** A digest of eight fields. */
    private static final String DIGEST = "98a44e4f44450100919407010203919307cb40040000000000000a910978919307020a";

    /** A digest of nine fields, the last of which names a weight version. */
    private static final String DIGEST_WITH_NAMES = "99" + DIGEST.substring(2) + "919307020a";

    /** Failure guarded against: nodes that are replaced one after the other do not read each other's digests. */
    @Example
    void digestWithoutNamesIsRead() throws IOException {
        LoadDigests.LoadDigest digest = LoadDigests.decode(HexFormat.of().parseHex(DIGEST));
        assert digest.scope() == FleetLoads.Scope.NODE && digest.contactAgeMillis() == 120 : digest;
        assert digest.work().get(0).requests() == 1 && digest.names() == null : digest;
    }

    /**
     * Failure guarded against: this release writes digests that the earlier ones cannot read. Those with shared parts read these
     * bytes of the one before.
     */
    @Example
    void digestIsWrittenWithNineFields() throws IOException {
        LoadDigests.LoadDigest digest = LoadDigests.decode(HexFormat.of().parseHex(DIGEST_WITH_NAMES));
        assert digest.names().get(0).version() == 2 && digest.names().get(0).ageMillis() == 10 : digest;
        assert HexFormat.of().formatHex(FeedMessages.encode(digest)).equals(DIGEST_WITH_NAMES) : digest;
    }

    /** Failure guarded against: a digest whose tenth field is the shared parts is rejected while nodes are replaced. */
    @Example
    void sharedPartsOfTheEarlierReleaseAreSkipped() throws IOException {
        for (String parts : List.of("90", "919307080a", "929307080a930708ff", "c0", "a3616263")) {
            String withParts = "9a" + DIGEST_WITH_NAMES.substring(2) + parts;
            LoadDigests.LoadDigest digest = LoadDigests.decode(HexFormat.of().parseHex(withParts));
            assert digest.equals(LoadDigests.decode(HexFormat.of().parseHex(DIGEST_WITH_NAMES))) : parts;
        }
    }

    /** Failure guarded against: a later release cannot add a field. */
    @Example
    void fieldsOfALaterReleaseAreSkipped() throws IOException {
        String later = "9b" + DIGEST_WITH_NAMES.substring(2) + "91930708" + "0a" + "a3616263";
        LoadDigests.LoadDigest digest = LoadDigests.decode(HexFormat.of().parseHex(later));
        assert digest.names().get(0).version() == 2 && digest.names().get(0).ageMillis() == 10 : digest;
    }

    /** A hub's answer without ages of cache stores. */
    private static final String POLL_ANSWER = "86a87265766973696f6e05a56974656d739195a16bc40101040400b2636f6e6669726d"
            + "65644167654d696c6c697301aa68656c644d696c6c697302b4636f6e746163744261636b4167654d696c6c697303a673746f726573"
            + "81a27374950708c25a9194c3a173a17004";

    /** Failure guarded against: members and hubs of two releases do not read each other while nodes are replaced. */
    @Example
    void hubAnswerWithoutAgesIsReadAndWritten() throws IOException {
        FeedMessages.PollAnswer answer =
                FeedMessages.decodePollAnswer(HexFormat.of().parseHex(POLL_ANSWER));
        assert answer.storeAges().isEmpty() && answer.stores().get("st").epoch() == 7 : answer;
        FeedMessages.PollAnswer withAges = new FeedMessages.PollAnswer(
                answer.revision(),
                answer.items(),
                answer.confirmedAgeMillis(),
                answer.heldMillis(),
                answer.contactBackAgeMillis(),
                answer.stores(),
                Map.of("st", new FeedMessages.CacheStoreAge(1, 2)));
        String written = HexFormat.of().formatHex(FeedMessages.encode(withAges.withoutStoreAges()));
        assert written.equals(POLL_ANSWER) : written;
    }

    /** Failure guarded against: a later release cannot add a field to a hub's answer. */
    @Example
    void fieldsOfALaterHubAreSkipped() throws IOException {
        String later = "87" + POLL_ANSWER.substring(2) + "a36e657792a16101";
        FeedMessages.PollAnswer answer =
                FeedMessages.decodePollAnswer(HexFormat.of().parseHex(later));
        assert answer.revision() == 5 && answer.stores().size() == 1 : answer;
    }
}
