package org.cowslipbank.entry.relay;

import java.io.IOException;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cowslipbank.model.PeerException;

/** Requests after a configuration has taken the last team away, or asks for no keys. */
final class NoTeamLeftTest {
    private static final String ANY_TEAMS = "\"Tenants\":\\[[^]]*][^]]*]";

    private final RelaySystem system = new RelaySystem();
    private ScriptedUpstream upstream;

    NoTeamLeftTest() throws IOException, PeerException {}

    @AfterTry
    void stop() throws IOException {
        system.close();
    }

    private void start() throws IOException, PeerException {
        upstream = system.upstream("app", "i-1", ScriptedUpstream.ok("hello"));
        system.start();
        assert system.send("/order/", "r1", "", "").startsWith("HTTP/1.1 200");
    }

    private void configureTeams(int version, String teams) {
        system.configure(version, text -> {
            String changed = text.replaceFirst(ANY_TEAMS, teams);
            assert !changed.equals(text) : text;
            return changed;
        });
    }

    private String explain() {
        String answer = RelaySystem.exchange(
                system.settings().listeners().metrics(),
                "GET /explain?method=POST&path=/order/&host=h HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n");
        return answer.contains("chunked") ? RelaySystem.joined(answer) : RelaySystem.body(answer);
    }

    /** Failure guarded against: once the last team is taken away, requests run with its keys, and with any. */
    @Example
    void noKeyIsValidWithoutTeams() throws IOException, PeerException {
        start();
        configureTeams(2, "\"Tenants\":[]");
        RelaySystem.await(
                "the key is refused", () -> system.send("/order/", "r2", "", "").startsWith("HTTP/1.1 401"));
        int ran = upstream.received.size();
        String address = system.settings().listeners().clients();
        for (String header : new String[] {"Authorization: Bearer other\r\n", "Authorization: Bearer \r\n", ""}) {
            String request = "POST /order/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r3\r\n" + header
                    + "Content-Length: 0\r\nConnection: close\r\n\r\n";
            assert RelaySystem.exchange(address, request).startsWith("HTTP/1.1 401") : header;
        }
        assert upstream.received.size() == ran;
        assert explain().contains("\"reason\":\"unknown_team\"") : explain();
    }

    /** Failure guarded against: a configuration that asks for no keys is not served any more. */
    @Example
    void configurationWithoutTheFieldAsksForNoKeys() throws IOException, PeerException {
        start();
        configureTeams(2, "\"Unheard\":[]");
        String address = system.settings().listeners().clients();
        String request = "POST /order/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\nContent-Length: 0\r\n"
                + "Connection: close\r\n\r\n";
        RelaySystem.await(
                "no key is needed", () -> RelaySystem.exchange(address, request).startsWith("HTTP/1.1 200"));
        assert explain().contains("\"choice\"") : explain();
    }

    /** Failure guarded against: a list of teams that cannot be read opens the routes, or takes the known teams away. */
    @Example
    void teamsThatCannotBeReadChangeNothing() throws Exception {
        start();
        configureTeams(2, "\"Tenants\":{}");
        configureTeams(3, "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"key\"],\"Isolated\":null}]");
        system.awaitStoreApplied();
        assert system.send("/order/", "r2", "", "").startsWith("HTTP/1.1 200");
        String unknownKey = "POST /order/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nAuthorization: Bearer k\r\n"
                + "Content-Length: 0\r\nConnection: close\r\n\r\n";
        String address = system.settings().listeners().clients();
        assert RelaySystem.exchange(address, unknownKey).startsWith("HTTP/1.1 401");
        configureTeams(4, "\"Tenants\":null");
        RelaySystem.await(
                "the key is refused", () -> system.send("/order/", "r3", "", "").startsWith("HTTP/1.1 401"));
    }
}
