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
import org.cowslipbank.model.fleet.ReachFact;
import org.cowslipbank.model.fleet.SuspectFact;
import org.cowslipbank.model.fleet.UpstreamFact;

/** Chooses which facts go into a message: urgent kinds first, among them those sent least often. */
final class Outbox {
    /**
     * Bytes that urgent facts may use beyond the budget, so that a burst of deaths, starts or leaving upstreams still
     * spreads at once. Load digests pause until the budget has recovered.
     */
    private static final double OVERDRAFT_BYTES = 16_000;

    /** Most bytes of facts in an immediate message; hundreds of upstreams may leave at once. */
    private static final int PUSH_BYTES = 4_000;

    private static final double BURST_SECONDS = 3;

    /**
     * Bytes for parts of the table in relation to those for facts. A budget of their own keeps the start of a fleet from
     * displacing load digests.
     */
    private static final double SYNC_SHARE = 0.3;

    private static final int URGENT_ROUNDS = 2;

    /** Number of times that a gateway sends a fact to each other data centre, on average. */
    private static final int ROUNDS_ACROSS = 3;

    private static final Comparator<Map.Entry<FactKey, Transmissions>> ORDER =
            Comparator.<Map.Entry<FactKey, Transmissions>>comparingInt(
                            entry -> entry.getKey().kind() == FactKey.Kind.LOAD ? 1 : 0)
                    .thenComparingInt(entry -> entry.getValue().total())
                    .thenComparingInt(entry -> entry.getKey().kind() == FactKey.Kind.LOAD ? 0 : 1);

    private Outbox() {}

    static void add(Step step, FactKey key, boolean urgent) {
        step.state.outbox.put(key, Transmissions.none(urgent));
    }

    static void addIfAbsent(Step step, FactKey key) {
        if (step.state.outbox.get(key) == null) {
            step.state.outbox.put(key, Transmissions.none(true));
        }
    }

    static void refill(Step step, long elapsedMillis) {
        int rate = step.state.settings.factBytesPerSecond();
        double filled = step.state.budgetBytes + elapsedMillis * rate / 1_000.0;
        step.state.budgetBytes = Math.min(filled, rate * BURST_SECONDS);
        double syncRate = rate * SYNC_SHARE;
        double syncFilled = step.state.syncBudgetBytes + elapsedMillis * syncRate / 1_000.0;
        step.state.syncBudgetBytes = Math.min(syncFilled, syncRate * BURST_SECONDS);
    }

    /** Adds queued facts for a receiver up to the limit of a message and of the budget. */
    static void fill(Step step, FactsBuilder builder, DataCentreId receiver) {
        boolean own = receiver.equals(step.state.dataCentre());
        List<Map.Entry<FactKey, Transmissions>> queued =
                step.state.outbox.view().entrySet().stream().sorted(ORDER).toList();
        for (Map.Entry<FactKey, Transmissions> entry : queued) {
            if (builder.bytes() >= step.state.settings.factBytesPerMessage()) {
                return;
            }
            FactKey key = entry.getKey();
            Transmissions sent = entry.getValue();
            if (isDue(step, key, sent, own)
                    && hasBudget(step, sent.urgent(), builder.bytes())
                    && append(step, builder, key, own)) {
                count(step, key, own ? sent.plusOwn() : sent.plusAcross());
            }
        }
    }

    /** Adds the named facts only, for an immediate message. */
    static void fill(Step step, FactsBuilder builder, Collection<FactKey> keys, DataCentreId receiver) {
        boolean own = receiver.equals(step.state.dataCentre());
        for (FactKey key : keys) {
            if (builder.bytes() < PUSH_BYTES && hasBudget(step, true, builder.bytes())) {
                append(step, builder, key, own);
            }
        }
    }

    static void charge(Step step, FactsBuilder builder) {
        step.state.budgetBytes -= builder.bytes();
    }

    private static boolean hasBudget(Step step, boolean urgent, int usedBytes) {
        double left = step.state.budgetBytes - usedBytes;
        return left > (urgent ? -OVERDRAFT_BYTES : 0);
    }

    private static void count(Step step, FactKey key, Transmissions sent) {
        if (isDue(step, key, sent, true) || isDue(step, key, sent, false)) {
            step.state.outbox.put(key, sent);
        } else {
            step.state.outbox.remove(key);
        }
    }

    private static boolean isDue(Step step, FactKey key, Transmissions sent, boolean own) {
        if (own) {
            return !step.ownLive().isEmpty() && sent.own() < limit(step, sent.urgent());
        }
        boolean crosses = key.kind() != FactKey.Kind.REACH
                && (key.kind() != FactKey.Kind.LOAD || step.state.settings.loadsCrossDataCentres());
        int rounds = sent.urgent() ? ROUNDS_ACROSS : 1;
        return crosses && sent.across() < rounds * step.state.gatewayTo().size();
    }

    /**
     * Grows with the logarithm of the data centre's size, which is the number of rounds that a fact needs. Other facts
     * than urgent ones are sent less often: a load digest is soon replaced, and a new process is also found by fetching
     * the table.
     */
    private static int limit(Step step, boolean urgent) {
        int rounds = 33 - Integer.numberOfLeadingZeros(step.ownLive().size() + 1);
        return urgent ? URGENT_ROUNDS * rounds : rounds / 2 + 1;
    }

    /** Appends a fact in its current state. Returns false if it has gone or does not concern the receiver. */
    static boolean append(Step step, FactsBuilder builder, FactKey key, boolean own) {
        return switch (key.kind()) {
            case MEMBER -> appendMember(step, builder, key, own);
            case UPSTREAM -> appendUpstream(step, builder, key);
            case REACH -> own && appendReach(step, builder, key);
            case SUSPECT -> appendSuspect(step, builder, key);
            case LOAD -> (own || step.state.settings.loadsCrossDataCentres()) && appendLoad(step, builder, key);
        };
    }

    private static boolean appendMember(Step step, FactsBuilder builder, FactKey key, boolean own) {
        VmId vm = new VmId(key.id());
        Member member = step.state.members.get(vm);
        if (member == null && !vm.equals(step.state.self.vm())) {
            step.state.outbox.remove(key);
            return false;
        }
        MemberFact fact = member == null ? step.state.self : member.fact();
        // A suspicion concerns the own data centre only; others go on holding the node for alive until it is dead.
        builder.add(!own && fact.status() == MemberStatus.SUSPECT ? fact.withStatus(MemberStatus.ALIVE) : fact);
        return true;
    }

    private static boolean appendUpstream(Step step, FactsBuilder builder, FactKey key) {
        Held<UpstreamFact> held = step.state.upstreams.get(new UpstreamId(key.id()));
        if (held == null) {
            step.state.outbox.remove(key);
            return false;
        }
        UpstreamFact fact = held.fact();
        int remaining = remainingSeconds(step, held);
        builder.add(new UpstreamFact(fact.upstream(), fact.leaving(), fact.version(), remaining));
        return true;
    }

    private static boolean appendSuspect(Step step, FactsBuilder builder, FactKey key) {
        Held<SuspectFact> held = step.state.suspects.get(key.id());
        if (held == null) {
            step.state.outbox.remove(key);
            return false;
        }
        SuspectFact fact = held.fact();
        builder.add(new SuspectFact(fact.fingerprint(), fact.crash(), fact.cleared(), remainingSeconds(step, held)));
        return true;
    }

    private static boolean appendReach(Step step, FactsBuilder builder, FactKey key) {
        ReachFact fact = step.state.reach.get(key.id());
        if (fact == null) {
            step.state.outbox.remove(key);
            return false;
        }
        builder.add(fact);
        return true;
    }

    private static boolean appendLoad(Step step, FactsBuilder builder, FactKey key) {
        Held<LoadFact> held = step.state.loads.get(new UpstreamId(key.id()));
        if (held == null) {
            step.state.outbox.remove(key);
            return false;
        }
        LoadFact fact = held.fact();
        builder.add(new LoadFact(
                fact.upstream(),
                fact.version(),
                fact.running(),
                fact.waiting(),
                fact.waitingPromptTokens(),
                fact.prefillTokensPerSecond(),
                fact.slots(),
                fact.loading(),
                (int) Math.min(FactStore.LOAD_EXPIRY_MILLIS, step.nowMillis - held.atMillis())));
        return true;
    }

    private static int remainingSeconds(Step step, Held<?> held) {
        return (int) Math.max(0, (held.atMillis() - step.nowMillis) / 1_000);
    }
}
