package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cowslipbank.platform.StandInStore;
import reactor.netty.resources.LoopResources;

/** Replays configurations that take a while on the link between a node and a metadata store that is sound. */
final class LateConfigurationTest {
    private static final int PADDING_ROUTES = 1_500;

    /** Bytes on the link for each byte of a value, which is sent as base64. */
    private static final double LINK_BYTES_PER_BYTE = 4 / 3.0;

    /** Time after which a node in touch with the store must act on a new configuration. */
    private static final long CONFIGURATION_MILLIS = 2_000;

    /** Longer than any node may act on what it knew before. */
    private static final long LATE_MILLIS = 5_000;

    private final LoopResources loops = LoopResources.create("late-configuration-test", 2, true);
    private final StandInStore store = new StandInStore(loops);
    private RelaySystem system;
    private ScriptedUpstream upstream;

    @AfterTry
    void tearDown() throws IOException {
        store.setLinkRate(Long.MAX_VALUE);
        system.close();
        upstream.close();
        store.stop();
        loops.disposeLater(Duration.ZERO, Duration.ofSeconds(10)).block();
    }

    private void start() throws Exception {
        store.put("op/config", configuration(1));
        upstream = new ScriptedUpstream(ScriptedUpstream.ok("done"));
        store.put(
                "servers/i-1",
                ("{\"Service\":\"app\",\"Address\":\"%s\",\"Zone\":\"a\",\"Slots\":16,\"State\":\"ready\",\"born\":1,"
                                + "\"Models\":[]}")
                        .formatted(upstream.address()));
        system = new RelaySystem(store).start();
    }

    /** Returns a large configuration with an anonymous route that only this version has. */
    private static String configuration(int version) {
        String padding = IntStream.range(0, PADDING_ROUTES)
                .mapToObj(index -> route("padding-" + index, "/padding-" + index + "/"))
                .collect(Collectors.joining());
        return RelaySystem.configuration(version, "\"key\"")
                .replace("\"Routes\":[", "\"Routes\":[" + route("open", path(version)) + padding);
    }

    private static String path(int version) {
        return "/open-" + version + "/";
    }

    private static String route(String name, String prefix) {
        return ("{\"Name\":\"%s\",\"Host\":\"h\",\"PathPrefix\":\"%s\",\"RouteKind\":\"idempotent\",\"TimeoutMs\":2000,"
                        + "\"TargetLatencyMs\":200,\"Service\":\"app\",\"MaxAttempts\":2,\"Anonymous\":true},")
                .formatted(name, prefix);
    }

    private static double linkBytesPerConfiguration() {
        return configuration(1).getBytes(StandardCharsets.UTF_8).length * LINK_BYTES_PER_BYTE;
    }

    private void setMillisPerConfiguration(long millis) {
        store.setLinkRate((long) (linkBytesPerConfiguration() * 1_000 / millis));
    }

    private String status(int version) {
        String answer = RelaySystem.exchange(
                system.settings().listeners().clients(),
                "GET " + path(version) + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline-Ms: 4000\r\n"
                        + "Connection: close\r\n\r\n");
        return answer.isEmpty() ? "closed" : answer.substring(9, 12);
    }

    /** Failure guarded against: a node that missed more than a call may bring never knows the newest configuration again. */
    @Example
    void nodeThatWasAwayCatchesUpWhileChangesGoOn() throws Exception {
        start();
        setMillisPerConfiguration(400);
        store.setMode(StandInStore.Mode.SILENT);
        Thread.sleep(1_200);
        int version = 1;
        while (version < 8) {
            store.put("op/config", configuration(++version));
        }
        store.setMode(StandInStore.Mode.UP);
        int servedByNewest = 0;
        for (int change = 0; change < 12; change++) {
            store.put("op/config", configuration(++version));
            Thread.sleep(600);
            servedByNewest += status(version).equals("200") ? 1 : 0;
        }
        assert servedByNewest > 0;
    }

    /** Failure guarded against: calls for the same changes share the link, so that each of them takes longer. */
    @Example
    void nodeAsksOnceForTheSameChanges() throws Exception {
        start();
        setMillisPerConfiguration(LATE_MILLIS);
        store.put("op/config", configuration(2));
        long bytesBefore = store.linkBytes();
        RelaySystem.await(
                "the newest configuration is in force", () -> status(2).equals("200"));
        long bytes = store.linkBytes() - bytesBefore;
        assert bytes < linkBytesPerConfiguration() * 1.2 : bytes;
    }

    /** Failure guarded against: a node that the store answers slowly acts on a configuration that was replaced long before. */
    @Example
    void nodeThatIsBehindDoesNotActOnAnOldConfiguration() throws Exception {
        start();
        setMillisPerConfiguration(LATE_MILLIS);
        store.put("op/config", configuration(2));
        Thread.sleep(CONFIGURATION_MILLIS);
        String status = status(1);
        assert status.equals("503") : status;
        RelaySystem.await(
                "the newest configuration is in force", () -> status(2).equals("200"));
        assert status(1).equals("404");
    }
}
