package org.cowslipbank.decision.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.MemberStatus;
import org.cowslipbank.model.fleet.ReachabilityFact;

/** Sends due probes and handles those that time out. */
final class Prober {
    /** Number of probes sent at once after a pause, so that the node is soon confirmed. */
    private static final int PROBES_AFTER_PAUSE = 3;

    private Prober() {}

    static void tick(StepContext context) {
        expireProbes(context);
        expireSuspicions(context);
        probeNext(context);
        probeDead(context);
        probeOtherDataCentres(context);
    }

    static void probeAfterPause(StepContext context) {
        List<Member> live = context.members(member -> !member.isDead());
        context.pick(live, PROBES_AFTER_PAUSE)
                .forEach(member -> MessageSender.probe(
                        context, PendingProbe.of(PendingProbe.Purpose.DEAD_NODE, member.node(), context.nowMillis)));
    }

    private static void expireProbes(StepContext context) {
        for (Map.Entry<Long, PendingProbe> entry :
                List.copyOf(context.state.pending.view().entrySet())) {
            PendingProbe probe = entry.getValue();
            long age = context.nowMillis - probe.sentMillis();
            switch (probe.purpose()) {
                case DIRECT -> expireDirect(context, entry.getKey(), probe, age);
                case RELAY -> expireRelay(context, entry.getKey(), probe, age);
                case CROSS_DATA_CENTRE -> expireCrossDataCentre(context, entry.getKey(), probe, age);
                default -> expireDead(context, entry.getKey(), age);
            }
        }
    }

    private static void expireDirect(StepContext context, long sequence, PendingProbe probe, long ageMillis) {
        MembershipSettings settings = context.state.settings;
        if (probe.helpers() < 0 && ageMillis >= settings.probeTimeoutMillis()) {
            askHelpers(context, sequence, probe);
            return;
        }
        boolean allHelpersFailed = probe.helpers() > 0 && probe.failedHelpers() >= probe.helpers();
        long limit = settings.probeTimeoutMillis() + 2 * settings.indirectTimeoutMillis();
        if (probe.helpers() >= 0 && (allHelpersFailed || ageMillis >= limit)) {
            context.state.pending.remove(sequence);
            suspectTarget(context, probe);
        }
    }

    private static void askHelpers(StepContext context, long sequence, PendingProbe probe) {
        context.effects.add(new FleetEffect.ResetConnection(probe.target()));
        List<Member> helpers = pickHelpers(context, probe.target());
        context.state.pending.put(sequence, probe.withHelpers(helpers.size()));
        helpers.forEach(helper -> context.send(
                helper.node(), Packet.indirectProbe(sequence, probe.target().vm())));
    }
    /** Picks helpers from the local data centre, and from others if it has too few nodes. */
    private static List<Member> pickHelpers(StepContext context, NodeAddress target) {
        int wanted = context.state.settings.indirectProbes();
        List<Member> candidates = context.members(member -> member.fact().status() == MemberStatus.ALIVE
                && !member.fact().vm().equals(target.vm()));
        List<Member> helpers = new ArrayList<>(
                context.pick(candidates.stream().filter(context::isLocal).toList(), wanted));
        List<Member> others =
                candidates.stream().filter(member -> !context.isLocal(member)).toList();
        helpers.addAll(context.pick(others, wanted - helpers.size()));
        return helpers;
    }

    /** Suspects the target only with evidence that this node's own sending and receiving work. */
    private static void suspectTarget(StepContext context, PendingProbe probe) {
        // The answer of a helper proves that this node can send and receive.
        if (!context.state.confirmed || probe.failedHelpers() == 0) {
            return;
        }
        Member target = context.state.members.get(probe.target().vm());
        if (target == null || target.fact().status() != MemberStatus.ALIVE) {
            return;
        }
        FactMerger.mergeMember(context, target.fact().withStatus(MemberStatus.SUSPECT));
        MessageSender.notifySuspect(context, target.node());
    }

    private static void expireRelay(StepContext context, long sequence, PendingProbe probe, long ageMillis) {
        if (ageMillis < context.state.settings.indirectTimeoutMillis()) {
            return;
        }
        context.state.pending.remove(sequence);
        context.effects.add(new FleetEffect.ResetConnection(probe.target()));
        probe.requester()
                .ifPresent(requester -> context.send(
                        requester,
                        Packet.indirectResult(
                                probe.requesterSequence(), probe.target().vm(), false)));
    }

    private static void expireCrossDataCentre(StepContext context, long sequence, PendingProbe probe, long ageMillis) {
        if (ageMillis < context.state.settings.crossProbeTimeoutMillis()) {
            return;
        }
        context.state.pending.remove(sequence);
        context.effects.add(new FleetEffect.ResetConnection(probe.target()));
        DataCentreId dataCentre = probe.target().dataCentre();
        Integer known = context.state.crossFailures.get(dataCentre);
        int failures = known == null ? 1 : known + 1;
        context.state.crossFailures.put(dataCentre, failures);
        if (failures >= context.state.settings.crossFailures() && context.state.confirmed) {
            publishOwnReachability(context, dataCentre, false);
        }
    }

    private static void expireDead(StepContext context, long sequence, long ageMillis) {
        if (ageMillis >= context.state.settings.crossProbeTimeoutMillis()) {
            context.state.pending.remove(sequence);
        }
    }

    /** Handles an acknowledgement from another data centre. */
    static void onRemoteAnswer(StepContext context, DataCentreId dataCentre) {
        context.state.crossFailures.remove(dataCentre);
        ReachabilityFact known = ownReachability(context, dataCentre);
        if (known != null && !known.reachable()) {
            // The tables have probably diverged in the meantime.
            context.state.syncs.put(dataCentre, SyncState.NEEDED);
            publishOwnReachability(context, dataCentre, true);
        }
    }

    private static void publishOwnReachability(StepContext context, DataCentreId dataCentre, boolean reachable) {
        ReachabilityFact known = ownReachability(context, dataCentre);
        if (known != null && known.reachable() == reachable) {
            return;
        }
        long version = known == null ? context.nowMillis : Math.max(context.nowMillis, known.version() + 1);
        FactMerger.publishReach(context, new ReachabilityFact(context.state.self.vm(), dataCentre, reachable, version));
    }

    private static ReachabilityFact ownReachability(StepContext context, DataCentreId dataCentre) {
        return context.state.reach.get(
                FactMerger.reachId(new ReachabilityFact(context.state.self.vm(), dataCentre, true, 0)));
    }

    private static void expireSuspicions(StepContext context) {
        if (!context.state.confirmed || context.state.localSuspectCount() == 0) {
            return;
        }
        long limit = context.nowMillis - context.state.settings.suspicionMillis();
        context.members(member -> member.fact().status() == MemberStatus.SUSPECT && member.changedMillis() <= limit)
                .forEach(member -> FactMerger.mergeMember(context, member.fact().withStatus(MemberStatus.DEAD)));
    }

    private static void probeNext(StepContext context) {
        if (context.nowMillis < context.state.nextProbeMillis) {
            return;
        }
        context.state.nextProbeMillis = context.nowMillis + context.state.settings.probePeriodMillis();
        nextTarget(context)
                .ifPresent(target -> MessageSender.probe(
                        context, PendingProbe.of(PendingProbe.Purpose.DIRECT, target.node(), context.nowMillis)));
    }

    /** Probes the members in a random order, reshuffled after each round, which bounds the detection time. */
    private static Optional<Member> nextTarget(StepContext context) {
        for (int rounds = 0; rounds < 2; rounds++) {
            while (!context.state.probeOrder.isEmpty()) {
                List<VmId> order = context.state.probeOrder;
                Member candidate = context.state.members.get(order.get(0));
                context.state.probeOrder = order.subList(1, order.size());
                if (candidate != null && !candidate.isDead() && context.isLocal(candidate)) {
                    return Optional.of(candidate);
                }
            }
            context.state.probeOrder = context.shuffled(context.liveLocalMembers().stream()
                    .map(member -> member.fact().vm())
                    .toList());
        }
        return Optional.empty();
    }

    private static void probeDead(StepContext context) {
        if (context.nowMillis < context.state.nextDeadProbeMillis) {
            return;
        }
        context.state.nextDeadProbeMillis = context.nowMillis + context.state.settings.deadProbePeriodMillis();
        context.pick(context.members(member -> member.isDead() && context.isLocal(member)), 1)
                .forEach(member -> MessageSender.probe(
                        context, PendingProbe.of(PendingProbe.Purpose.DEAD_NODE, member.node(), context.nowMillis)));
    }

    private static void probeOtherDataCentres(StepContext context) {
        if (context.nowMillis < context.state.nextCrossProbeMillis) {
            return;
        }
        context.state.nextCrossProbeMillis = context.nowMillis + context.state.settings.crossProbePeriodMillis();
        for (DataCentreId dataCentre : context.state.gatewayTargets()) {
            context.pick(context.live(dataCentre), 1)
                    .forEach(member -> MessageSender.probe(
                            context,
                            PendingProbe.of(PendingProbe.Purpose.CROSS_DATA_CENTRE, member.node(), context.nowMillis)));
        }
    }
}
