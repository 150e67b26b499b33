package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.cowslipbank.entry.traffic.MonotonicClock;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.platform.PlatformItems;

final class PlatformStateTest {
    private final OwnItems items = new OwnItems("cowslipbank/");
    private final PlatformState state =
            new PlatformState(new PlatformItems(), items, new DecisionLog(MonotonicClock.SYSTEM, 1));

    private static StoreItem server(String id, String address, long born, String serverState, long revision) {
        String value =
                "{\"Service\":\"app\",\"Address\":\"%s\",\"Zone\":\"a\",\"Slots\":6,\"State\":\"%s\",\"born\":%d}"
                        .formatted(address, serverState, born);
        return new StoreItem("servers/" + id, value.getBytes(StandardCharsets.UTF_8), revision, revision, 0);
    }

    private static StoreItem gone(String key, long revision) {
        return new StoreItem(key, null, revision, 0, 0);
    }

    /** Failure guarded against: all upstreams are given up because their registrations ran out in an outage. */
    @Example
    void registrationsThatRanOutInAnOutageAreKept() {
        state.onRange(List.of(server("i-1", "10.0.0.1:80", 1, "ready", 5)), 5, 0);
        state.onContactBack(60_000);
        state.onChanges(List.of(gone("servers/i-1", 6)), 6, 60_010);
        assert state.view().serving("app").size() == 1;
        assert !state.expire(60_000 + PlatformState.RETURN_MILLIS - 1);
        assert state.expire(60_000 + PlatformState.RETURN_MILLIS);
        assert state.view().serving("app").isEmpty();
    }

    /** Failure guarded against: an upstream that returned after an outage is given up all the same. */
    @Example
    void returnedRegistrationStays() {
        state.onRange(List.of(server("i-1", "10.0.0.1:80", 1, "ready", 5)), 5, 0);
        state.onContactBack(60_000);
        state.onRange(List.of(), 6, 60_010);
        state.onChanges(List.of(server("i-1", "10.0.0.1:80", 1, "ready", 7)), 7, 61_000);
        assert !state.expire(70_000);
        assert state.view().serving("app").size() == 1;
    }

    /**
     * Failure guarded against: an upstream that leaves some seconds after an outage gets requests (serra-corte trouble-1,
     * DRAIN 2,257 ms after the upstream had left).
     */
    @Example
    void upstreamThatLeavesAfterAnOutageIsGivenUpAtOnce() {
        state.onRange(List.of(server("i-1", "10.0.0.1:80", 1, "ready", 5)), 5, 0);
        state.onContactBack(60_000);
        state.onChanges(List.of(gone("servers/i-1", 6)), 6, 63_400);
        assert state.view().serving("app").isEmpty();
    }

    /** Failure guarded against: an upstream that said it leaves is kept because of an outage. */
    @Example
    void drainingUpstreamIsNotKept() {
        state.onRange(List.of(server("i-1", "10.0.0.1:80", 1, "draining", 5)), 5, 0);
        state.onContactBack(60_000);
        state.onChanges(List.of(gone("servers/i-1", 6)), 6, 60_010);
        assert state.view().servers().isEmpty();
    }

    /** Failure guarded against: an entry that was written late replaces that of the newer incarnation. */
    @Example
    void olderIncarnationDoesNotReturn() {
        state.onRange(List.of(server("i-1", "10.0.0.1:80", 9, "ready", 5)), 5, 0);
        state.onChanges(List.of(server("i-1", "10.0.0.1:80", 4, "draining", 6)), 6, 10);
        assert state.view().serving("app").get(0).bornMillis() == 9;
    }

    /** Failure guarded against: requests go to a server that is gone because its address has a new owner. */
    @Example
    void newestOwnerOfAnAddressCounts() {
        state.onRange(
                List.of(server("i-1", "10.0.0.1:80", 1, "ready", 5), server("i-2", "10.0.0.1:80", 2, "ready", 6)),
                6,
                0);
        assert state.view().serving("app").size() == 1;
        assert state.view().serving("app").get(0).id().equals("i-2");
    }

    /** Failure guarded against: engines stay unused because a leader died after it had announced them. */
    @Example
    void announcementEndsWithItsLeader() {
        byte[] rollout = OwnItems.encodeRollout(new OwnItems.Rollout("n1#7", java.util.Set.of("i-1")));
        StoreItem announced = new StoreItem(items.rolloutKey(), rollout, 6, 6, 0);
        StoreItem leader = new StoreItem(items.leaderKey(), OwnItems.encodeText("n1#7"), 5, 5, 7);
        state.onRange(List.of(leader, announced), 6, 0);
        assert state.view().switching().size() == 1;
        state.onChanges(List.of(gone(items.leaderKey(), 7)), 7, 10);
        assert state.view().switching().isEmpty();
        assert state.rolloutBy().equals(Optional.of("n1#7"));
    }

    /** Failure guarded against: items of the nodes that cannot be read stop the node. */
    @Example
    void unreadableOwnItemIsIgnored() {
        state.onRange(List.of(new StoreItem(items.rolloutKey(), new byte[] {1, 2}, 5, 5, 0)), 5, 0);
        assert state.view().switching().isEmpty();
    }
}
