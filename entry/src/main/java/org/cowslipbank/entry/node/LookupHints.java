package org.cowslipbank.entry.node;

import java.io.IOException;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.cowslipbank.config.Team;
import org.cowslipbank.decision.entries.EndpointAnswer;
import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.SessionKey;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.peer.PeerAddress;
import org.cowslipbank.peer.RequestKind;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import reactor.core.publisher.Mono;

/**
 * Sends a prefetch hint when a caller looks up the addresses for a session. The look-up is the earliest sign that the
 * session is about to return; the hint goes to the first node of the answer, which served the session before.
 */
final class LookupHints {
    private static final ObjectMapper MAPPER = new MessagePackMapper();
    private static final long HINT_TIMEOUT_MILLIS = 500;

    private final FleetMembership fleet;
    private final Supplier<ConfigurationIndex> configuration;
    private final BiConsumer<Team, SessionKey> prefetch;

    LookupHints(
            FleetMembership fleet, Supplier<ConfigurationIndex> configuration, BiConsumer<Team, SessionKey> prefetch) {
        this.fleet = fleet;
        this.configuration = configuration;
        this.prefetch = prefetch;
        fleet.transport().onRequest(RequestKind.PREFETCH, (from, body) -> receive(body));
    }

    void send(Team team, String session, EndpointAnswer answer) {
        if (session.isBlank() || answer.nodes().isEmpty()) {
            return;
        }
        NodeAddress first = answer.nodes().get(0);
        if (first.vm().equals(fleet.self())) {
            prefetch.accept(team, new SessionKey(session));
            return;
        }
        fleet.transport()
                .request(
                        new PeerAddress(first.vm(), first.address()),
                        RequestKind.PREFETCH,
                        encode(new Hint(team.id().value(), session)),
                        HINT_TIMEOUT_MILLIS)
                .subscribe(done -> {}, error -> {});
    }

    private Mono<byte[]> receive(byte[] body) {
        try {
            Hint hint = MAPPER.readValue(body, Hint.class);
            Optional<Team> team = configuration.get().team(new TeamId(hint.team()));
            team.ifPresent(known -> prefetch.accept(known, new SessionKey(hint.session())));
            return Mono.just(new byte[0]);
        } catch (IOException e) {
            return Mono.error(
                    new PeerException(ProcessingStep.PEER, "", RunState.NOT_RUN, "unreadable message of a peer", e));
        }
    }

    private static byte[] encode(Hint hint) {
        try {
            return MAPPER.writeValueAsBytes(hint);
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode prefetch hint", e);
        }
    }

    /** Wire form of a hint. */
    private record Hint(String team, String session) {}
}
