package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.decision.relay.SoftwareVersions;
import org.cowslipbank.model.PeerException;

/** Failure guarded against: a stream has events from engines of two software versions. */
final class MixedVersionsTest {
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";

    /** Time that an engine takes for a long prompt. */
    private static final long SLOW_FIRST_EVENT_MILLIS = 600;

    /** Streams that are taken up at about the same time. */
    private static final int STREAMS = 24;

    private RelaySystem system;
    private RelaySystem restarted;

    @BeforeTry
    void setUp() throws IOException, PeerException {
        system = new RelaySystem();
    }

    @AfterTry
    void tearDown() throws IOException {
        system.close();
        if (restarted != null) {
            restarted.close();
        }
    }

    /** Begins a stream and breaks off after its first event; goes on with a stream that is taken up. */
    private static void beginOrGoOn(ScriptedUpstream.Received request, Socket socket)
            throws IOException, InterruptedException {
        if (request.header("Last-Event-Id").isEmpty()) {
            ScriptedUpstream.beginStream(request, socket, FIRST_EVENT);
            // Longer than the interval at which nodes tell each other where streams began.
            Thread.sleep(1_200);
            ScriptedUpstream.reset(socket);
        } else {
            ScriptedUpstream.beginStream(request, socket, "id: 2\ndata: b\n\n");
            ScriptedUpstream.endStream(socket);
        }
    }

    private static String takeUp(RelaySystem node, String id, String resumes) {
        return node.send("/stream/", id, "Last-Event-Id: 1\r\nResumes: " + resumes + "\r\n", "prompt");
    }

    private static List<String> resumedAt(ScriptedUpstream engine) {
        return engine.received.stream()
                .filter(request -> !request.header("Last-Event-Id").isEmpty())
                .map(request -> request.header("X-Request-Id"))
                .toList();
    }

    private RelaySystem restart() throws IOException, PeerException {
        system.closeNode();
        restarted = new RelaySystem(system.store);
        return restarted.start();
    }

    @Example
    void nodeResumesAStreamOnlyAtTheVersionThatBeganIt() throws Exception {
        ScriptedUpstream first = system.engine("i-1", "v1", MixedVersionsTest::beginOrGoOn);
        system.start();
        Thread joins = new Thread(() -> {
            try {
                RelaySystem.await("the stream has begun", () -> !first.received.isEmpty());
                system.engine("i-2", "v2", MixedVersionsTest::beginOrGoOn);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        joins.start();
        String answer = system.send("/stream/", "r1", "", "prompt");
        joins.join();
        assert !answer.contains("data: b") && !answer.endsWith("0\r\n\r\n") : answer;
    }

    @Example
    void nodeResumesAStreamAtAnotherEngineOfTheVersion() throws Exception {
        system.engine("i-1", "v1", MixedVersionsTest::beginOrGoOn);
        system.engine("i-2", "v1", MixedVersionsTest::beginOrGoOn);
        ScriptedUpstream other = system.engine("i-3", "v2", MixedVersionsTest::beginOrGoOn);
        system.start();
        for (int number = 0; number < 4; number++) {
            String answer = system.send("/stream/", "r" + number, "", "prompt");
            boolean otherBegan = !other.received.isEmpty();
            assert otherBegan || answer.contains("data: b") && answer.endsWith("0\r\n\r\n") : answer;
        }
        assert resumedAt(other).isEmpty() : resumedAt(other);
    }

    /** Begins a stream at the only engine, then lets one of another version take part. */
    private ScriptedUpstream beginAtFirstVersion() throws Exception {
        system.engine("i-1", "v1", MixedVersionsTest::beginOrGoOn);
        system.start();
        ScriptedUpstream second = system.engine("i-2", "v2", MixedVersionsTest::beginOrGoOn);
        system.store.remove("servers/i-2");
        system.awaitStoreApplied();
        Thread client = new Thread(() -> system.send("/stream/", "r1", "", "prompt"));
        client.start();
        Thread.sleep(300);
        system.register("llm", "i-2", second.address(), "ready", 2, "v2");
        client.join();
        return second;
    }

    @Example
    void streamIsTakenUpAtTheVersionThatBeganIt() throws Exception {
        ScriptedUpstream second = beginAtFirstVersion();
        for (int number = 0; number < 6; number++) {
            String answer = takeUp(system, "t" + number, "r1");
            assert answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n") : answer;
        }
        assert resumedAt(second).isEmpty() : resumedAt(second);
    }

    @Example
    void streamIsTakenUpAtItsVersionAfterTheNodeWasKilled() throws Exception {
        ScriptedUpstream second = beginAtFirstVersion();
        RelaySystem node = restart();
        for (int number = 0; number < 6; number++) {
            String answer = takeUp(node, "t" + number, "r1");
            assert answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n") : answer;
        }
        assert resumedAt(second).isEmpty() : resumedAt(second);
    }

    /** Otherwise a stream that breaks off soon after its begin, because its node is killed, could not be taken up. */
    @Example
    void originIsReportedBeforeTheFirstEvent() throws Exception {
        ScriptedUpstream.Script slow = (request, socket) -> {
            Thread.sleep(SLOW_FIRST_EVENT_MILLIS);
            ScriptedUpstream.beginStream(request, socket, FIRST_EVENT);
        };
        system.engine("i-1", "v1", slow);
        system.engine("i-2", "v2", slow);
        system.start();
        try (Socket client = system.connect()) {
            ScriptedUpstream.write(client, system.request("/stream/", "r1", "Content-Length: 0\r\n\r\n"));
            client.getInputStream().read();
            assert isReported("r1");
        }
    }

    private boolean isReported(String request) {
        return system.store.keys().stream()
                .flatMap(key -> system.store.item(key).stream())
                .anyMatch(item -> new String(item.value(), StandardCharsets.ISO_8859_1).contains(request));
    }

    @Example
    void streamOfAVersionThatHasLeftIsRefusedAsNotRun() throws Exception {
        ScriptedUpstream second = beginAtFirstVersion();
        system.store.remove("servers/i-1");
        system.awaitStoreApplied();
        assert takeUp(system, "t1", "r1").startsWith("HTTP/1.1 503");
        RelaySystem node = restart();
        assert takeUp(node, "t2", "r1").startsWith("HTTP/1.1 503");
        assert takeUp(node, "t3", "not known").startsWith("HTTP/1.1 503");
        assert resumedAt(second).isEmpty() : resumedAt(second);
        // New streams are not affected.
        assert node.send("/stream/", "r2", "", "prompt").startsWith("HTTP/1.1 200");
    }

    /** Without a second version every stream began at the only one. */
    @Example
    void unknownStreamGoesOnAtTheOnlyVersion() throws Exception {
        system.engine("i-1", "v1", MixedVersionsTest::beginOrGoOn);
        system.engine("i-2", "v1", MixedVersionsTest::beginOrGoOn);
        system.start();
        String answer = takeUp(system, "t1", "not known");
        assert answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n") : answer;
        RelaySystem node = restart();
        answer = takeUp(node, "t2", "not known");
        assert answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n") : answer;
    }

    /**
     * The node has been cut off from the metadata store, or was suspended, while engines of another version registered;
     * the stream began there through another node.
     */
    @Example
    void unknownStreamIsRefusedWhileNewRegistrationsMayBeMissing() throws Exception {
        ScriptedUpstream first = system.engine("i-1", "v1", MixedVersionsTest::beginOrGoOn);
        system.start();
        system.store.setSilent(true);
        system.engine("i-2", "v2", MixedVersionsTest::beginOrGoOn);
        String answer = takeUp(system, "t1", "began at v2");
        assert answer.startsWith("HTTP/1.1 503") : answer;
        assert resumedAt(first).isEmpty() : resumedAt(first);
        system.store.setSilent(false);
        system.store.remove("servers/i-2");
        system.awaitStoreApplied();
    }

    /** The node's watch is behind, but the metadata store answers other calls; the stream was reported meanwhile. */
    @Example
    void unknownStreamGoesOnAtItsVersionOnceTheStoreHasBeenAsked() throws Exception {
        ScriptedUpstream first = system.engine("i-1", "v1", MixedVersionsTest::beginOrGoOn);
        system.start();
        system.store.holdWatches(true);
        ScriptedUpstream second = system.engine("i-2", "v2", MixedVersionsTest::beginOrGoOn);
        system.store.put("cowslipbank/streams/n2/1.0", "{\"llm\":{\"v2\":[\"r1\"],\"v1\":[]}}");
        String answer = takeUp(system, "t1", "r1");
        assert answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n") : answer;
        assert resumedAt(first).isEmpty() && resumedAt(second).equals(List.of("t1")) : resumedAt(first);
        assert takeUp(system, "t2", "not known").startsWith("HTTP/1.1 503");
        assert resumedAt(first).isEmpty() && resumedAt(second).size() == 1 : resumedAt(second);
    }

    /** The engines of another version have registered and left between two answers of the metadata store. */
    @Example
    void versionThatCameAndLeftUnseenCounts() throws Exception {
        ScriptedUpstream first = system.engine("i-1", "v1", MixedVersionsTest::beginOrGoOn);
        system.start();
        system.store.holdWatches(true);
        system.engine("i-2", "v2", MixedVersionsTest::beginOrGoOn);
        system.store.remove("servers/i-2");
        assert takeUp(system, "t1", "began at v2").startsWith("HTTP/1.1 503");
        assert resumedAt(first).isEmpty() : resumedAt(first);
    }

    /** Failure guarded against: asking the metadata store keeps sound streams from being taken up. */
    @Example
    void manyUnknownStreamsGoOnAtTheOnlyVersionWithFewCalls() throws Exception {
        system.engine("i-1", "v1", MixedVersionsTest::beginOrGoOn);
        system.engine("i-2", "v1", MixedVersionsTest::beginOrGoOn);
        system.start();
        String record = new NodeItems("cowslipbank/").softwareKey(new SoftwareVersions.Version("llm", "v1"));
        RelaySystem.await("the version is recorded", () -> system.store.keys().contains(record));
        system.awaitStoreApplied();
        long callsBefore = system.store.watches();
        List<String> answers = IntStream.range(0, STREAMS)
                .parallel()
                .mapToObj(number -> takeUp(system, "t" + number, "began elsewhere " + number))
                .toList();
        assert answers.stream().allMatch(answer -> answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n"))
                : answers;
        assert system.store.watches() - callsBefore <= STREAMS / 2 : system.store.watches() - callsBefore;
    }
}
