package org.cowslipbank.decision.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/** A few nodes on a virtual clock that exchange packets without delay. */
final class FakeFleet {
    static final long START_MILLIS = 1_790_000_000_000L;
    private static final long TICK_MILLIS = 100;

    final List<MembershipState> states = new ArrayList<>();
    final List<FleetEffect> effects = new ArrayList<>();
    final boolean[] stopped;
    private final List<Runnable> deliveries = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(7);
    BiPredicate<Integer, Integer> dropsPacket = (from, to) -> false;
    long nowMillis = START_MILLIS;

    FakeFleet(int count) {
        stopped = new boolean[count];
        List<ListedNode> listed = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            listed.add(new ListedNode(node(i), false));
        }
        for (int i = 0; i < count; i++) {
            states.add(Membership.initialState(MembershipSettings.SMALL_FLEET, node(i), nowMillis, nowMillis));
            step(i, new FleetEvent.NodesListed(listed));
        }
    }

    static NodeAddress node(int index) {
        return new NodeAddress(new VmId("vm-" + index), new DataCentreId("dc"), "10.0.0." + index + ":7400", 8080);
    }

    void step(int index, FleetEvent event) {
        Membership.Outcome outcome = Membership.apply(states.get(index), event, nowMillis, random.nextLong());
        states.set(index, outcome.state());
        effects.addAll(outcome.effects());
        for (FleetEffect effect : outcome.effects()) {
            if (effect instanceof FleetEffect.Send send) {
                int to = Integer.parseInt(send.to().vm().value().substring(3));
                deliveries.add(() -> deliver(index, to, send.packet()));
            }
        }
    }

    private void deliver(int from, int to, Packet packet) {
        if (!stopped[to] && !dropsPacket.test(from, to)) {
            step(to, new FleetEvent.Received(node(from), packet));
        }
    }

    void runFor(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += TICK_MILLIS) {
            for (int i = 0; i < states.size(); i++) {
                if (!stopped[i]) {
                    step(i, new FleetEvent.Tick());
                }
            }
            while (!deliveries.isEmpty()) {
                deliveries.remove(0).run();
            }
        }
    }

    FleetView view(int index) {
        return FleetView.of(states.get(index));
    }

    boolean considersDead(int observer, int subject) {
        return view(observer).deadNodes().contains(node(subject).vm());
    }
}
