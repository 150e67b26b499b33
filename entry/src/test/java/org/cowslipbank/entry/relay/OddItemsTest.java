package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.model.relay.IpPort;
import org.cowslipbank.model.relay.PlatformRecord;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.platform.MetadataItemDecoder;
import org.cowslipbank.ports.relay.MetadataStore;
import org.cowslipbank.ports.relay.PlatformDecoder;

/**
 * Failure guarded against: one odd item or message of another writer ends the process, or the node stops to follow the
 * others.
 */
final class OddItemsTest {
    private static final int DEEP = 50_000;

    private static final List<String> KEYS = List.of(
            "servers/i-9",
            "servers/",
            "servers/a/b",
            "servers/\u0000\r\n",
            "servers/" + "i".repeat(192),
            "op/config",
            "op/version/m",
            "op/version/",
            "cowslipbank/nodes/n9",
            "cowslipbank/nodes/",
            "cowslipbank/leader",
            "cowslipbank/rollout",
            "cowslipbank/complete-era",
            "cowslipbank/crashes/n9/i-9@1",
            "cowslipbank/crashes/",
            "cowslipbank/sound/n9/1",
            "cowslipbank/probes/n9/1",
            "cowslipbank/streams/n9/1.0",
            "cowslipbank/",
            "",
            "/");

    private static final List<String> VALUES = List.of(
            "{\"Service\":\"app\",\"Address\":\"10.0.0.9:80\",\"Zone\":\"a\",\"Slots\":6,\"State\":\"ready\",\"born\":1,"
                    + "\"Sequence\":2,\"Version\":\"v1\",\"Models\":[{\"Name\":\"m\",\"Version\":1}]}",
            "{\"address\":\"10.0.0.9:80\",\"dataCentre\":\"a\",\"digestAddress\":\"10.0.0.9:81\",\"feedAddress\":\"\","
                    + "\"linkBytesPerSecond\":5,\"processorCores\":1.0}",
            "{\"Version\":9,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\",\"PathPrefix\":\"/\",\"RouteKind\":\"streaming\","
                    + "\"TimeoutMs\":1,\"Service\":\"app\"}],\"Services\":[{\"Name\":\"app\"}],\"Tenants\":[]}",
            "{\"Model\":\"m\",\"Version\":3}",
            "{\"by\":\"n9\",\"switching\":[\"i-9\"]}",
            "{\"app\":{\"v1\":[\"r1\"]}}",
            "{\"part\":3}",
            "12");

    private static final List<String> PARTS = List.of(
            "-1",
            "0",
            "1e400",
            "0.5",
            "NaN",
            "9".repeat(400),
            "9223372036854775808",
            "null",
            "true",
            "[]",
            "{}",
            "[null]",
            "\"\"",
            "\"10.0.0.9:65536\"",
            "\"10.0.0.9:99999999999\"",
            "\"engine.example:80\"",
            "\"[::1]:80\"",
            "[".repeat(DEEP),
            "{\"a\":".repeat(DEEP),
            "\"" + "x".repeat(DEEP) + "\"");

    /** An item's value with one of its parts replaced. */
    @Provide
    Arbitrary<byte[]> oddValues() {
        Arbitrary<byte[]> changed = Combinators.combine(
                        Arbitraries.of(VALUES),
                        Arbitraries.of(PARTS),
                        Arbitraries.integers().between(0, 40))
                .as((value, part, number) -> replacePart(value, part, number).getBytes(StandardCharsets.UTF_8));
        return Arbitraries.oneOf(
                changed, Arbitraries.bytes().array(byte[].class).ofMaxSize(60));
    }

    /** Replaces a value in a text of JSON: the one behind the colon with a stated number. */
    private static String replacePart(String json, String part, int number) {
        String[] pieces = json.split(":(?![0-9])", -1);
        if (pieces.length == 1) {
            return part;
        }
        int index = 1 + number % (pieces.length - 1);
        pieces[index] = part + pieces[index].replaceFirst("^(\"[^\"]*\"|[^,}\\]]*)", "");
        return String.join(":", pieces);
    }

    @Provide
    Arbitrary<String> keys() {
        return Arbitraries.of(KEYS);
    }

    private static StoreItem server(String id, String address, long revision) {
        String value = VALUES.get(0).replace("10.0.0.9:80", address);
        return new StoreItem("servers/" + id, value.getBytes(StandardCharsets.UTF_8), revision, revision, 0);
    }

    @Property(tries = 2_000, seed = "33")
    void theOtherItemsAreFollowed(
            @ForAll("keys") String key, @ForAll("oddValues") byte[] value, @ForAll("keys") String other) {
        PlatformState state = state(new MetadataItemDecoder());
        StoreItem odd = new StoreItem(key, value, 3, 3, 0);
        state.applySnapshot(
                new MetadataStore.Range(List.of(odd, server("i-1", "10.0.0.1:80", 2)), 3, 0), 0, Long.MAX_VALUE, 0);
        state.recordSoftwareVersions(0);
        List<StoreItem> changes = List.of(
                new StoreItem(other, value, 4, 4, 0),
                server("i-2", "10.0.0.2:80", 5),
                new StoreItem(key, null, 6, 0, 0));
        state.applyChanges(changes, 6, 10);
        state.recordSoftwareVersions(10);
        PlatformView view = state.view();
        assert view.servers().containsKey("i-1") && view.servers().containsKey("i-2") : view.servers();
        view.servers().values().forEach(known -> assertUsable(known.address()));
        view.nodes().values().forEach(node -> assertUsable(node.address()));
        assert view.servers().values().stream().allMatch(known -> known.slots() > 0 && known.startedAtMillis() >= 0);
    }

    /** The error stands for one that no decoder is known to have. */
    @Example
    void errorInOneItemDoesNotHideTheOthers() {
        MetadataItemDecoder sound = new MetadataItemDecoder();
        for (Throwable error : List.of(new StackOverflowError(), new IllegalArgumentException())) {
            PlatformDecoder failing = new PlatformDecoder() {
                @Override
                public String watchedPrefix() {
                    return "";
                }

                @Override
                public String nodeItemPrefix() {
                    return sound.nodeItemPrefix();
                }

                @Override
                public PlatformRecord decode(StoreItem item) {
                    if (item.key().endsWith("odd")) {
                        return OddItemsTest.<RuntimeException, PlatformRecord>fail(error);
                    }
                    return sound.decode(item);
                }
            };
            PlatformState state = state(failing);
            StoreItem odd = server("odd", "10.0.0.9:80", 3);
            state.applySnapshot(
                    new MetadataStore.Range(List.of(odd, server("i-1", "10.0.0.1:80", 2)), 3, 0), 0, Long.MAX_VALUE, 0);
            state.applyChanges(List.of(server("odd", "10.0.0.9:80", 4), server("i-2", "10.0.0.2:80", 5)), 5, 10);
            assert state.view().servers().keySet().equals(Set.of("i-1", "i-2"))
                    : state.view().servers();
        }
    }

    @SuppressWarnings("unchecked")
    private static <E extends Throwable, T> T fail(Throwable error) throws E {
        throw (E) error;
    }

    private static PlatformState state(PlatformDecoder decoder) {
        return PlatformStates.create(decoder, new StreamOrigins("n1"), PlatformStates.log());
    }

    private static void assertUsable(String address) {
        assert IpPort.isValid(address) : address;
        InetSocketAddress parsed = SocketAddresses.parse(address);
        assert !parsed.isUnresolved() && parsed.getPort() > 0 : address;
    }

    /** Decodes a message; only the stated exception is allowed. */
    private interface Decoder {
        Object decode(byte[] bytes) throws IOException;
    }

    private static final List<Decoder> DECODERS = List.of(
            LoadDigests::decode,
            FeedMessages::decodePollRequest,
            bytes -> FeedMessages.decodePollAnswer(bytes).items().stream()
                    .map(FeedMessages.ItemMessage::decode)
                    .toList(),
            bytes -> FeedMessages.decodePollAnswer(bytes).stores().values().stream()
                    .map(FeedMessages.CacheChangesMessage::decode)
                    .toList());

    private static final List<byte[]> MESSAGES = List.of(
            FeedMessages.encode(new LoadDigests.LoadDigest(
                    FleetLoads.Scope.NODE,
                    1,
                    0,
                    List.of(new LoadDigests.Entry(7, 1, 2, 3)),
                    List.of(new LoadDigests.LimitEntry(7, 2.5, 10)),
                    List.of(9),
                    120L,
                    List.of(new LoadDigests.BrittleEntry(7, 2, 10)),
                    List.of(new LoadDigests.NameEntry(7, 2, 10)))),
            FeedMessages.encode(new FeedMessages.PollRequest(5, Map.of("st", 3L))),
            FeedMessages.encode(new FeedMessages.PollAnswer(
                    5,
                    List.of(new FeedMessages.ItemMessage("k", new byte[] {1}, 4, 4, 0)),
                    1,
                    2,
                    3,
                    Map.of(
                            "st",
                            new FeedMessages.CacheChangesMessage(
                                    1, 2, false, 3, List.of(new FeedMessages.CacheChangeMessage(true, "s", "p", 4)))),
                    Map.of("st", new FeedMessages.CacheStoreAge(5, 6)))));

    /** MessagePack for nil, lengths without contents, nested arrays and maps, numbers at the limits, and NaN. */
    private static final List<byte[]> PIECES = List.of(
            bytes(0xc0),
            bytes(0xc1),
            bytes(0xc6, 0x7f, 0xff, 0xff, 0xff),
            bytes(0xc9, 0x7f, 0xff, 0xff, 0xff, 1),
            bytes(0xdb, 0x7f, 0xff, 0xff, 0xff),
            bytes(0xdd, 0xff, 0xff, 0xff, 0xff),
            bytes(0xdf, 0x7f, 0xff, 0xff, 0xff),
            bytes(0xcf, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff),
            bytes(0xd3, 0x80, 0, 0, 0, 0, 0, 0, 0),
            bytes(0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0),
            bytes(0xcb, 0x7f, 0xf0, 0, 0, 0, 0, 0, 0),
            nested(0x91),
            nested(0x81));

    private static byte[] bytes(int... values) {
        byte[] bytes = new byte[values.length];
        for (int index = 0; index < values.length; index++) {
            bytes[index] = (byte) values[index];
        }
        return bytes;
    }

    private static byte[] nested(int header) {
        byte[] bytes = new byte[DEEP];
        Arrays.fill(bytes, (byte) header);
        return bytes;
    }

    private static byte[] replaceAt(byte[] message, int index, byte[] piece) {
        byte[] changed = new byte[message.length - 1 + piece.length];
        System.arraycopy(message, 0, changed, 0, index);
        System.arraycopy(piece, 0, changed, index, piece.length);
        System.arraycopy(message, index + 1, changed, index + piece.length, message.length - index - 1);
        return changed;
    }

    @Example
    void messagesAreDecodedOrMalformed() {
        List<byte[]> odd = new ArrayList<>(PIECES);
        for (byte[] message : MESSAGES) {
            for (int index = 0; index < message.length; index++) {
                odd.add(Arrays.copyOf(message, index));
                for (byte[] piece : PIECES) {
                    odd.add(replaceAt(message, index, piece));
                }
            }
        }
        odd.forEach(OddItemsTest::decodeAll);
    }

    @Property(tries = 300, seed = "33")
    void bytesAreDecodedOrMalformed(@ForAll byte[] bytes) {
        decodeAll(bytes);
    }

    private static void decodeAll(byte[] bytes) {
        for (Decoder decoder : DECODERS) {
            try {
                Object decoded = decoder.decode(bytes);
                if (decoded instanceof LoadDigests.LoadDigest digest && digest.limits() != null) {
                    digest.limits().forEach(limit -> {
                        double rate = limit.decode().requestsPerSecond().orElse(0);
                        assert Double.isFinite(rate) : rate;
                    });
                }
            } catch (IOException e) {
                // Malformed, which callers expect.
                continue;
            }
        }
    }
}
