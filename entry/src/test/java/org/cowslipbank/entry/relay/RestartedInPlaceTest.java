package org.cowslipbank.entry.relay;

import java.util.concurrent.atomic.AtomicBoolean;

import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.SoftwareVersions;

/**
 * Failure guarded against: an engine starts again under its identifier with another software version, a stream begins there
 * before its new registration is read, and goes on at the version of the earlier one.
 */
final class RestartedInPlaceTest {
    private static final long UNREAD_MILLIS = 300;

    @Example
    void streamGoesOnOnlyAtTheVersionThatBeganIt() throws Exception {
        AtomicBoolean goneOn = new AtomicBoolean();
        String record = new NodeItems("cowslipbank/").softwareKey(new SoftwareVersions.Version("llm", "v1"));
        try (RelaySystem system = new RelaySystem()) {
            // The process that answers has version v2 already.
            ScriptedUpstream restarted = system.engine("i-1", "v1", (request, socket) -> {
                ScriptedUpstream.beginStream(request, socket, "id: 1\ndata: a\n\n");
                ScriptedUpstream.reset(socket);
            });
            system.start();
            RelaySystem.await(
                    "the version is recorded", () -> system.store.keys().contains(record));
            system.awaitStoreApplied();
            long startedAtMillis = System.currentTimeMillis();
            Thread.sleep(UNREAD_MILLIS);
            String begun = system.send("/stream/", "r1", "", "prompt");
            assert begun.contains("data: a") : begun;
            system.engine("i-2", "v1", (request, socket) -> {
                goneOn.set(true);
                ScriptedUpstream.beginStream(request, socket, "id: 2\ndata: b\n\n");
                ScriptedUpstream.endStream(socket);
            });
            system.register("llm", "i-1", restarted.address(), "ready", startedAtMillis, "v2");
            system.awaitStoreApplied();
            String answer = system.send("/stream/", "t1", "Last-Event-Id: 1\r\nResumes: r1\r\n", "prompt");
            assert !goneOn.get() : answer;
        }
    }
}
