package org.cowslipbank.decision.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.fleet.FleetDigest;

/** Context of one step: a working copy of the state, the time, a seeded random source and the effects so far. */
final class StepContext {
    final MembershipState state;
    final long nowMillis;
    final List<FleetEffect> effects = new ArrayList<>();
    final FactsBuilder changedFacts = new FactsBuilder();
    final Set<FactKey> urgent = new LinkedHashSet<>();
    private final SplittableRandom random;

    StepContext(MembershipState state, long nowMillis, long seed) {
        this.state = state;
        this.nowMillis = nowMillis;
        this.random = new SplittableRandom(seed);
    }

    void send(NodeAddress to, Packet packet) {
        effects.add(new FleetEffect.Send(to, packet));
    }

    int random(int bound) {
        return random.nextInt(bound);
    }

    FleetDigest digest(Optional<String> syncCursor) {
        long age = state.confirmedAtMillis < 0 ? -1 : Math.max(0, nowMillis - state.confirmedAtMillis);
        return new FleetDigest(state.tableHash, state.revision, age, syncCursor);
    }

    List<Member> members(Predicate<Member> condition) {
        return state.members.view().values().stream().filter(condition).toList();
    }

    boolean isLocal(Member member) {
        return member.fact().dataCentre().equals(state.dataCentre());
    }

    List<Member> liveLocalMembers() {
        return state.liveLocalMembers();
    }

    List<Member> live(DataCentreId dataCentre) {
        return members(member -> !member.isDead() && member.fact().dataCentre().equals(dataCentre));
    }

    /** Returns at most {@code count} members, chosen at random. */
    List<Member> pick(List<Member> from, int count) {
        List<Member> shuffled = shuffled(from);
        return shuffled.subList(0, Math.min(count, shuffled.size()));
    }

    <T> List<T> shuffled(List<T> items) {
        List<T> copy = new ArrayList<>(items);
        for (int i = copy.size() - 1; i > 0; i--) {
            Collections.swap(copy, i, random.nextInt(i + 1));
        }
        return copy;
    }
}
