package org.cowslipbank.entry.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.decision.suspects.RefusalProbes;
import org.cowslipbank.entry.traffic.MonotonicClock;
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
        state.applySnapshot(new MetadataStore.Range(List.of(odd, server("i-1", "10.0.0.1:80", 2)), 3, 0), 0, 0);
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
            state.applySnapshot(new MetadataStore.Range(List.of(odd, server("i-1", "10.0.0.1:80", 2)), 3, 0), 0, 0);
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
        return new PlatformState(
                decoder,
                new NodeItems("cowslipbank/"),
                new StreamOrigins(),
                new RefusalProbes(),
                new DecisionLog(MonotonicClock.SYSTEM, 1));
    }

    private static void assertUsable(String address) {
        assert IpPort.isValid(address) : address;
        InetSocketAddress parsed = SocketAddresses.parse(address);
        assert !parsed.isUnresolved() && parsed.getPort() > 0 : address;
    }
}
