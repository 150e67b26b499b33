package org.cowslipbank.entry.relay;

import java.io.IOException;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/**
 * Failure guarded against: a node that is behind refuses a route or key as unknown although the configuration that has it was
 * written so long ago that it must be in force.
 */
final class UnknownRouteTest {
    /** Longer than the 2 s within which a configuration must be in force, shorter than the 5 s for revoked keys. */
    private static final long BEHIND_MILLIS = 3_000;

    private final RelaySystem system;

    UnknownRouteTest() throws Exception {
        system = new RelaySystem();
        system.upstream("app", "i-1", ScriptedUpstream.ok("done"));
        system.start();
        assert send("/read/1", "key").startsWith("HTTP/1.1 200");
    }

    @AfterTry
    void stop() throws IOException {
        system.close();
    }

    private String send(String path, String key) {
        String request = system.request(path, "r1", "Connection: close\r\nContent-Length: 0\r\n\r\n");
        return RelaySystem.exchange(
                system.settings().listeners().clients(), request.replace("Bearer key", "Bearer " + key));
    }

    private void addRouteAndKey() {
        system.configure(2, text -> text.replace("\"key\"", "\"key\",\"added\"").replace("/read/", "/added/"));
    }

    @Example
    void nodeWithoutTheMetadataStoreRefusesAsNotRun() {
        system.store.setDown(true);
        addRouteAndKey();
        system.suspendedMillis.set(BEHIND_MILLIS);
        assert send("/added/1", "key").startsWith("HTTP/1.1 503");
        assert send("/read/1", "added").startsWith("HTTP/1.1 503");
        assert send("/read/1", "key").startsWith("HTTP/1.1 200");
    }

    @Example
    void nodeWhoseWatchIsLateAsksTheMetadataStore() {
        system.store.holdWatches(true);
        addRouteAndKey();
        system.suspendedMillis.set(BEHIND_MILLIS);
        assert send("/added/1", "added").startsWith("HTTP/1.1 200");
    }

    @Example
    void nodeWithTheNewestConfigurationRefusesAsUnknown() {
        assert send("/added/1", "key").startsWith("HTTP/1.1 404");
        assert send("/read/1", "added").startsWith("HTTP/1.1 401");
    }
}
