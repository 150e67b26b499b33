package org.cowslipbank.decision.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.LoadFact;
import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.MemberStatus;
import org.cowslipbank.model.fleet.ReachabilityFact;
import org.cowslipbank.model.fleet.SuspectFact;
import org.cowslipbank.model.fleet.UpstreamFact;

/** Queue of facts to gossip. Load digests are sent last, other facts in order of fewest transmissions. */
final class Outbox {
    /**
     * How far urgent facts may overdraw the byte budget, so that a burst of dead nodes, starts or leaving upstreams still
     * spreads at once. Load digests pause until the budget has recovered.
     */
    private static final double OVERDRAFT_BYTES = 16_000;

    /** Limit on the facts in a pushed message; hundreds of upstreams may leave at once. */
    private static final int MAX_PUSH_BYTES = 4_000;

    /** Unused budget accumulates for this long. */
    private static final double BUDGET_BURST_SECONDS = 3;

    /**
     * Byte budget for parts of the member table, relative to the one for queued facts. The separate budget keeps table
     * synchronisation from displacing load digests when a fleet starts.
     */
    private static final double SYNC_BUDGET_SHARE = 0.3;

    /** How often an urgent fact is sent for each gossip round that it needs to reach all nodes. */
    private static final int URGENT_TRANSMISSIONS_PER_ROUND = 2;

    /** Average number of times that a gateway sends an urgent fact to each other data centre. */
    private static final int URGENT_REMOTE_TRANSMISSIONS = 3;

    private static final Comparator<Map.Entry<FactKey, TransmissionCount>> SEND_ORDER =
            Comparator.<Map.Entry<FactKey, TransmissionCount>>comparingInt(
                            entry -> entry.getKey().kind() == FactKey.Kind.LOAD ? 1 : 0)
                    .thenComparingInt(entry -> entry.getValue().total())
                    .thenComparingInt(entry -> entry.getKey().kind() == FactKey.Kind.LOAD ? 0 : 1);

    private Outbox() {}

    static void add(StepContext context, FactKey key, boolean urgent) {
        context.state.outbox.put(key, TransmissionCount.none(urgent));
    }

    static void addIfAbsent(StepContext context, FactKey key) {
        if (context.state.outbox.get(key) == null) {
            context.state.outbox.put(key, TransmissionCount.none(true));
        }
    }

    static void refill(StepContext context, long elapsedMillis) {
        int rate = context.state.settings.factBytesPerSecond();
        double filled = context.state.budgetBytes + elapsedMillis * rate / 1_000.0;
        context.state.budgetBytes = Math.min(filled, rate * BUDGET_BURST_SECONDS);
        double syncRate = rate * SYNC_BUDGET_SHARE;
        double syncFilled = context.state.syncBudgetBytes + elapsedMillis * syncRate / 1_000.0;
        context.state.syncBudgetBytes = Math.min(syncFilled, syncRate * BUDGET_BURST_SECONDS);
    }

    /** Adds queued facts for a receiver, up to the message size and the byte budget. */
    static void fill(StepContext context, FactsBuilder builder, DataCentreId receiver) {
        boolean local = receiver.equals(context.state.dataCentre());
        List<Map.Entry<FactKey, TransmissionCount>> queued = context.state.outbox.view().entrySet().stream()
                .sorted(SEND_ORDER)
                .toList();
        for (Map.Entry<FactKey, TransmissionCount> entry : queued) {
            if (builder.bytes() >= context.state.settings.factBytesPerMessage()) {
                return;
            }
            FactKey key = entry.getKey();
            TransmissionCount sent = entry.getValue();
            if (isDue(context, key, sent, local)
                    && hasBudget(context, sent.urgent(), builder.bytes())
                    && append(context, builder, key, local)) {
                recordTransmission(context, key, local ? sent.plusLocal() : sent.plusRemote());
            }
        }
    }

    /** Adds only the given facts, for a pushed message. */
    static void fill(StepContext context, FactsBuilder builder, Collection<FactKey> keys, DataCentreId receiver) {
        boolean local = receiver.equals(context.state.dataCentre());
        for (FactKey key : keys) {
            if (builder.bytes() < MAX_PUSH_BYTES && hasBudget(context, true, builder.bytes())) {
                append(context, builder, key, local);
            }
        }
    }

    static void charge(StepContext context, FactsBuilder builder) {
        context.state.budgetBytes -= builder.bytes();
    }

    private static boolean hasBudget(StepContext context, boolean urgent, int usedBytes) {
        double left = context.state.budgetBytes - usedBytes;
        return left > (urgent ? -OVERDRAFT_BYTES : 0);
    }

    private static void recordTransmission(StepContext context, FactKey key, TransmissionCount sent) {
        if (isDue(context, key, sent, true) || isDue(context, key, sent, false)) {
            context.state.outbox.put(key, sent);
        } else {
            context.state.outbox.remove(key);
        }
    }

    private static boolean isDue(StepContext context, FactKey key, TransmissionCount sent, boolean local) {
        if (local) {
            return !context.liveLocalMembers().isEmpty()
                    && sent.local() < maxLocalTransmissions(context, sent.urgent());
        }
        boolean sentToOtherDataCentres = key.kind() != FactKey.Kind.REACH
                && (key.kind() != FactKey.Kind.LOAD || context.state.settings.loadsCrossDataCentres());
        int transmissions = sent.urgent() ? URGENT_REMOTE_TRANSMISSIONS : 1;
        return sentToOtherDataCentres
                && sent.remote()
                        < transmissions * context.state.gatewayTargets().size();
    }

    /**
     * Returns how often a fact is sent within the data centre. Gossip needs a number of rounds that grows with the
     * logarithm of the number of nodes. Facts that are not urgent are sent less often: a load digest is soon replaced, and
     * table synchronisation also delivers new processes.
     */
    private static int maxLocalTransmissions(StepContext context, boolean urgent) {
        int rounds =
                33 - Integer.numberOfLeadingZeros(context.liveLocalMembers().size() + 1);
        return urgent ? URGENT_TRANSMISSIONS_PER_ROUND * rounds : rounds / 2 + 1;
    }

    /** Appends the current version of a fact. Returns false if it no longer exists or is not sent to the receiver. */
    static boolean append(StepContext context, FactsBuilder builder, FactKey key, boolean local) {
        return switch (key.kind()) {
            case MEMBER -> appendMember(context, builder, key, local);
            case UPSTREAM -> appendUpstream(context, builder, key);
            case REACH -> local && appendReach(context, builder, key);
            case SUSPECT -> appendSuspect(context, builder, key);
            case LOAD -> (local || context.state.settings.loadsCrossDataCentres()) && appendLoad(context, builder, key);
        };
    }

    private static boolean appendMember(StepContext context, FactsBuilder builder, FactKey key, boolean local) {
        VmId vm = new VmId(key.id());
        Member member = context.state.members.get(vm);
        if (member == null && !vm.equals(context.state.self.vm())) {
            context.state.outbox.remove(key);
            return false;
        }
        MemberFact fact = member == null ? context.state.self : member.fact();
        // Suspicions stay within the data centre; others consider the node alive until it is dead.
        builder.add(!local && fact.status() == MemberStatus.SUSPECT ? fact.withStatus(MemberStatus.ALIVE) : fact);
        return true;
    }

    private static boolean appendUpstream(StepContext context, FactsBuilder builder, FactKey key) {
        TimedFact<UpstreamFact> timedFact = context.state.upstreams.get(new UpstreamId(key.id()));
        if (timedFact == null) {
            context.state.outbox.remove(key);
            return false;
        }
        UpstreamFact fact = timedFact.fact();
        int remaining = remainingSeconds(context, timedFact);
        builder.add(new UpstreamFact(fact.upstream(), fact.leaving(), fact.version(), remaining));
        return true;
    }

    private static boolean appendSuspect(StepContext context, FactsBuilder builder, FactKey key) {
        TimedFact<SuspectFact> timedFact = context.state.suspects.get(key.id());
        if (timedFact == null) {
            context.state.outbox.remove(key);
            return false;
        }
        SuspectFact fact = timedFact.fact();
        builder.add(new SuspectFact(
                fact.fingerprint(), fact.crash(), fact.cleared(), remainingSeconds(context, timedFact)));
        return true;
    }

    private static boolean appendReach(StepContext context, FactsBuilder builder, FactKey key) {
        ReachabilityFact fact = context.state.reach.get(key.id());
        if (fact == null) {
            context.state.outbox.remove(key);
            return false;
        }
        builder.add(fact);
        return true;
    }

    private static boolean appendLoad(StepContext context, FactsBuilder builder, FactKey key) {
        TimedFact<LoadFact> timedFact = context.state.loads.get(new UpstreamId(key.id()));
        if (timedFact == null) {
            context.state.outbox.remove(key);
            return false;
        }
        LoadFact fact = timedFact.fact();
        builder.add(new LoadFact(
                fact.upstream(),
                fact.version(),
                fact.running(),
                fact.waiting(),
                fact.waitingPromptTokens(),
                fact.prefillTokensPerSecond(),
                fact.slots(),
                fact.loading(),
                (int) Math.min(FactMerger.LOAD_EXPIRY_MILLIS, context.nowMillis - timedFact.atMillis())));
        return true;
    }

    private static int remainingSeconds(StepContext context, TimedFact<?> timedFact) {
        return (int) Math.max(0, (timedFact.atMillis() - context.nowMillis) / 1_000);
    }
}
