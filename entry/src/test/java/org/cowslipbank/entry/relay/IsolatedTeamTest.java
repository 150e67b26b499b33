package org.cowslipbank.entry.relay;

import java.io.IOException;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.model.PeerException;

/** Cached prompt parts of teams that become isolated while the node runs. */
class IsolatedTeamTest {
    private static final String PROMPT = "X-Model: m\r\nX-Token-Usage: 30,5\r\nX-Prefix-Hash: aa:20,b%d:10\r\n";

    private RelaySystem system;

    @BeforeTry
    void startSystem() throws IOException, PeerException {
        system = new RelaySystem();
    }

    @AfterTry
    void closeSystem() throws IOException {
        system.close();
    }

    /** Failure guarded against: other teams go on using the parts that a team made before it became isolated. */
    @Example
    void partsOfATeamStayBehindWhenItBecomesIsolated() throws Exception {
        ScriptedUpstream engine = system.upstream("llm", "i-1", (request, socket) -> {
            ScriptedUpstream.beginStream(request, socket, "id: 1\ndata: a\n\n");
            ScriptedUpstream.endStream(socket);
        });
        configure(2, false);
        system.start();
        String together = salt(engine, 1);
        configure(3, true);
        system.awaitStoreApplied();
        String apart = salt(engine, 2);
        assert !apart.isEmpty() && !apart.equals(together) : apart;
        assert !apart.endsWith("/other") : apart;
        configure(4, false);
        system.awaitStoreApplied();
        assert salt(engine, 3).equals(together);
    }

    private void configure(int version, boolean isolated) {
        String other = "\"Tenants\":[{\"Name\":\"other\",\"ApiKeys\":[\"o\"],\"Isolated\":" + isolated + "},";
        system.configure(version, text -> text.replace("\"Tenants\":[", other));
    }

    private String salt(ScriptedUpstream engine, int number) {
        String answer = system.send("/stream/", "r" + number, PROMPT.formatted(number), "");
        assert answer.startsWith("HTTP/1.1 200") : answer;
        return engine.received.get(number - 1).header("X-Cache-Salt");
    }
}
