package org.cowslipbank.decision.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.MemberStatus;
import org.cowslipbank.model.fleet.ReachFact;

/** Sends probes on time and judges those that were not answered. */
final class Prober {
    /** Probes sent at once after a pause, so that the node is confirmed early. */
    private static final int PROBES_AFTER_PAUSE = 3;

    private Prober() {}

    static void tick(Step step) {
        expirePending(step);
        expireSuspicions(step);
        probeNext(step);
        probeDead(step);
        probeAcross(step);
    }

    static void probeAfterPause(Step step) {
        List<Member> live = step.members(member -> !member.isDead());
        step.pick(live, PROBES_AFTER_PAUSE)
                .forEach(member ->
                        Messenger.probe(step, Pending.of(Pending.Purpose.DEAD, member.node(), step.nowMillis)));
    }

    private static void expirePending(Step step) {
        for (Map.Entry<Long, Pending> entry :
                List.copyOf(step.state.pending.view().entrySet())) {
            Pending probe = entry.getValue();
            long age = step.nowMillis - probe.sentMillis();
            switch (probe.purpose()) {
                case DIRECT -> expireDirect(step, entry.getKey(), probe, age);
                case RELAY -> expireRelay(step, entry.getKey(), probe, age);
                case CROSS -> expireCross(step, entry.getKey(), probe, age);
                default -> expireDead(step, entry.getKey(), age);
            }
        }
    }

    private static void expireDirect(Step step, long sequence, Pending probe, long ageMillis) {
        MembershipSettings settings = step.state.settings;
        if (probe.helpers() < 0 && ageMillis >= settings.probeTimeoutMillis()) {
            askHelpers(step, sequence, probe);
            return;
        }
        boolean allRefused = probe.helpers() > 0 && probe.refusals() >= probe.helpers();
        long limit = settings.probeTimeoutMillis() + 2 * settings.indirectTimeoutMillis();
        if (probe.helpers() >= 0 && (allRefused || ageMillis >= limit)) {
            step.state.pending.remove(sequence);
            judge(step, probe);
        }
    }

    private static void askHelpers(Step step, long sequence, Pending probe) {
        step.effects.add(new FleetEffect.ResetConnection(probe.target()));
        List<Member> helpers = helpers(step, probe.target());
        step.state.pending.put(sequence, probe.withHelpers(helpers.size()));
        helpers.forEach(helper -> step.send(
                helper.node(), Packet.indirectProbe(sequence, probe.target().vm())));
    }
    /** Helpers of the own data centre, filled up from others where it is small. */
    private static List<Member> helpers(Step step, NodeAddress target) {
        int wanted = step.state.settings.indirectProbes();
        List<Member> candidates = step.members(member -> member.fact().status() == MemberStatus.ALIVE
                && !member.fact().vm().equals(target.vm()));
        List<Member> helpers = new ArrayList<>(
                step.pick(candidates.stream().filter(step::isOwn).toList(), wanted));
        List<Member> others =
                candidates.stream().filter(member -> !step.isOwn(member)).toList();
        helpers.addAll(step.pick(others, wanted - helpers.size()));
        return helpers;
    }

    /** A node is accused only with evidence that this node's own sending and receiving work. */
    private static void judge(Step step, Pending probe) {
        // An answering helper proves both that this node is heard and that it hears.
        if (!step.state.confirmed || probe.refusals() == 0) {
            return;
        }
        Member target = step.state.members.get(probe.target().vm());
        if (target == null || target.fact().status() != MemberStatus.ALIVE) {
            return;
        }
        FactStore.mergeMember(step, target.fact().withStatus(MemberStatus.SUSPECT));
        Messenger.accuse(step, target.node());
    }

    private static void expireRelay(Step step, long sequence, Pending probe, long ageMillis) {
        if (ageMillis < step.state.settings.indirectTimeoutMillis()) {
            return;
        }
        step.state.pending.remove(sequence);
        step.effects.add(new FleetEffect.ResetConnection(probe.target()));
        probe.requester()
                .ifPresent(requester -> step.send(
                        requester,
                        Packet.indirectResult(
                                probe.requesterSequence(), probe.target().vm(), false)));
    }

    private static void expireCross(Step step, long sequence, Pending probe, long ageMillis) {
        if (ageMillis < step.state.settings.crossProbeTimeoutMillis()) {
            return;
        }
        step.state.pending.remove(sequence);
        step.effects.add(new FleetEffect.ResetConnection(probe.target()));
        DataCentreId dataCentre = probe.target().dataCentre();
        Integer known = step.state.crossFailures.get(dataCentre);
        int failures = known == null ? 1 : known + 1;
        step.state.crossFailures.put(dataCentre, failures);
        if (failures >= step.state.settings.crossFailures() && step.state.confirmed) {
            stateReach(step, dataCentre, false);
        }
    }

    private static void expireDead(Step step, long sequence, long ageMillis) {
        if (ageMillis >= step.state.settings.crossProbeTimeoutMillis()) {
            step.state.pending.remove(sequence);
        }
    }

    /** Takes note of an answer from another data centre. */
    static void answeredAcross(Step step, DataCentreId dataCentre) {
        step.state.crossFailures.remove(dataCentre);
        ReachFact known = ownReach(step, dataCentre);
        if (known != null && !known.reachable()) {
            // The tables have very likely drifted apart meanwhile.
            step.state.syncs.put(dataCentre, SyncState.NEEDED);
            stateReach(step, dataCentre, true);
        }
    }

    private static void stateReach(Step step, DataCentreId dataCentre, boolean reachable) {
        ReachFact known = ownReach(step, dataCentre);
        if (known != null && known.reachable() == reachable) {
            return;
        }
        long version = known == null ? step.nowMillis : Math.max(step.nowMillis, known.version() + 1);
        FactStore.publishReach(step, new ReachFact(step.state.self.vm(), dataCentre, reachable, version));
    }

    private static ReachFact ownReach(Step step, DataCentreId dataCentre) {
        return step.state.reach.get(FactStore.reachId(new ReachFact(step.state.self.vm(), dataCentre, true, 0)));
    }

    private static void expireSuspicions(Step step) {
        if (!step.state.confirmed || step.state.suspectCount() == 0) {
            return;
        }
        long limit = step.nowMillis - step.state.settings.suspicionMillis();
        step.members(member -> member.fact().status() == MemberStatus.SUSPECT && member.changedMillis() <= limit)
                .forEach(member -> FactStore.mergeMember(step, member.fact().withStatus(MemberStatus.DEAD)));
    }

    private static void probeNext(Step step) {
        if (step.nowMillis < step.state.nextProbeMillis) {
            return;
        }
        step.state.nextProbeMillis = step.nowMillis + step.state.settings.probePeriodMillis();
        nextTarget(step)
                .ifPresent(target ->
                        Messenger.probe(step, Pending.of(Pending.Purpose.DIRECT, target.node(), step.nowMillis)));
    }

    /** Goes through the members in a random order that is drawn anew after each round, which bounds detection. */
    private static Optional<Member> nextTarget(Step step) {
        for (int rounds = 0; rounds < 2; rounds++) {
            while (!step.state.probeOrder.isEmpty()) {
                List<VmId> order = step.state.probeOrder;
                Member candidate = step.state.members.get(order.get(0));
                step.state.probeOrder = order.subList(1, order.size());
                if (candidate != null && !candidate.isDead() && step.isOwn(candidate)) {
                    return Optional.of(candidate);
                }
            }
            step.state.probeOrder = step.shuffled(
                    step.ownLive().stream().map(member -> member.fact().vm()).toList());
        }
        return Optional.empty();
    }

    private static void probeDead(Step step) {
        if (step.nowMillis < step.state.nextDeadProbeMillis) {
            return;
        }
        step.state.nextDeadProbeMillis = step.nowMillis + step.state.settings.deadProbePeriodMillis();
        step.pick(step.members(member -> member.isDead() && step.isOwn(member)), 1)
                .forEach(member ->
                        Messenger.probe(step, Pending.of(Pending.Purpose.DEAD, member.node(), step.nowMillis)));
    }

    private static void probeAcross(Step step) {
        if (step.nowMillis < step.state.nextCrossMillis) {
            return;
        }
        step.state.nextCrossMillis = step.nowMillis + step.state.settings.crossProbePeriodMillis();
        for (DataCentreId dataCentre : step.state.gatewayTo()) {
            step.pick(step.live(dataCentre), 1)
                    .forEach(member ->
                            Messenger.probe(step, Pending.of(Pending.Purpose.CROSS, member.node(), step.nowMillis)));
        }
    }
}
