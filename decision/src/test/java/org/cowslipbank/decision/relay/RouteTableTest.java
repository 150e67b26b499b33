package org.cowslipbank.decision.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import net.jqwik.api.Example;
import org.cowslipbank.model.relay.RelayTeam;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.model.relay.ServiceShare;

final class RouteTableTest {
    private static final List<ServiceShare> ALL = List.of(new ServiceShare("llm", 1));

    /** Failure guarded against: a request goes to the service of a shorter prefix, or of another host. */
    @Example
    void longestPrefixOfTheHostWins() {
        Route shorter = RelaySamples.route("h", "/a/", List.of(new ServiceShare("short", 1)));
        Route longer = RelaySamples.route("h", "/a/b/", List.of(new ServiceShare("long", 1)));
        Route other = RelaySamples.route("g", "/a/b/c/", ALL);
        RouteTable table = new RouteTable(RelaySamples.configuration(List.of(shorter, longer, other), List.of()));
        assert table.route("h", "/a/b/c/d").equals(Optional.of(longer));
        assert table.route("h", "/a/b").equals(Optional.of(shorter));
        assert table.route("h", "/a").isEmpty();
        assert table.route("g", "/a/x").isEmpty();
    }

    /** Failure guarded against: a service that operators weighted with zero still gets requests. */
    @Example
    void zeroWeightGetsNothing() {
        Route split = RelaySamples.route("h", "/", List.of(new ServiceShare("old", 0), new ServiceShare("new", 3)));
        for (int key = 0; key < 1_000; key++) {
            assert RouteTable.chooseService(split, "k" + key).equals(Optional.of("new"));
        }
        Route none = RelaySamples.route("h", "/", List.of(new ServiceShare("old", 0)));
        assert RouteTable.chooseService(none, "k").isEmpty();
    }

    /** Failure guarded against: weights are ignored, or a session gets another service with every request. */
    @Example
    void weightsAreFollowedByKey() {
        Route split = RelaySamples.route("h", "/", List.of(new ServiceShare("a", 90), new ServiceShare("b", 10)));
        int toA = 0;
        for (int key = 0; key < 10_000; key++) {
            Optional<String> service = RouteTable.chooseService(split, "k" + key);
            assert service.equals(RouteTable.chooseService(split, "k" + key));
            toA += service.get().equals("a") ? 1 : 0;
        }
        assert toA > 8_800 && toA < 9_200 : toA;
    }

    /** Failure guarded against: a key gives access to another team's routes. */
    @Example
    void keysBelongToOneTeam() {
        RelayTeam team = new RelayTeam("t", List.of("k1", "k2"), false, OptionalInt.empty());
        RouteTable table = new RouteTable(RelaySamples.configuration(List.of(), List.of(team)));
        assert table.team("k2").equals(Optional.of(team));
        assert table.team("K2").isEmpty();
        assert table.requiresKeys();
    }

    /** Failure guarded against: a key that identifies no team, or more than one, gives access. */
    @Example
    void keysThatIdentifyNoSingleTeamAreUnknown() {
        RelayTeam first = new RelayTeam("t1", List.of("k1", "shared", ""), false, OptionalInt.empty());
        RelayTeam second = new RelayTeam("t2", List.of("k2", "shared", "k2"), false, OptionalInt.empty());
        RelayTeam third = new RelayTeam("t3", List.of("shared"), false, OptionalInt.empty());
        RouteTable table = new RouteTable(RelaySamples.configuration(List.of(), List.of(first, second, third)));
        assert table.team("").isEmpty() && table.team("shared").isEmpty();
        assert table.team("k1").equals(Optional.of(first)) && table.team("k2").equals(Optional.of(second));
        assert new RouteTable(RelaySamples.configuration(List.of(), List.of())).requiresKeys() : "no team is left";
    }
}
