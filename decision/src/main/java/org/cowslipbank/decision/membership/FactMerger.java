package org.cowslipbank.decision.membership;

import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.model.fleet.LoadFact;
import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.MemberStatus;
import org.cowslipbank.model.fleet.ReachabilityFact;
import org.cowslipbank.model.fleet.SuspectFact;
import org.cowslipbank.model.fleet.UpstreamFact;

/** Merges received facts into the state. Merges are commutative and idempotent, so order and duplicates do not matter. */
final class FactMerger {
    /** Age at which a load digest is dropped as outdated. */
    static final int LOAD_EXPIRY_MILLIS = 30_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private FactMerger() {}

    static void merge(StepContext context, GossipPayload facts) {
        facts.members().forEach(fact -> mergeMember(context, fact));
        facts.upstreams().forEach(fact -> mergeUpstream(context, fact));
        facts.reach().forEach(fact -> mergeReach(context, fact));
        facts.suspects().forEach(fact -> mergeSuspect(context, fact));
        facts.loads().forEach(fact -> mergeLoad(context, fact));
    }

    static void mergeMember(StepContext context, MemberFact fact) {
        if (fact.vm().equals(context.state.self.vm())) {
            refute(context, fact);
            return;
        }
        boolean local = fact.dataCentre().equals(context.state.dataCentre());
        if (fact.status() == MemberStatus.SUSPECT && !local) {
            return;
        }
        Member known = context.state.members.get(fact.vm());
        if (known == null) {
            addUnknown(context, fact);
            return;
        }
        MemberFact merged = known.fact().merge(fact);
        if (!merged.equals(known.fact())) {
            context.state.putMember(new Member(merged, context.nowMillis, known.listed(), known.listedLeaving()));
            queueMember(context, known.fact(), merged);
        } else if (!fact.equals(merged) && (fact.incarnation() > 0 || fact.status() != MemberStatus.ALIVE)) {
            // The sender has an outdated fact, so the current one is queued again unless it already is.
            Outbox.addIfAbsent(context, memberKey(merged));
        }
    }

    /** Adds an unknown member. A dead one is not added: this node has dropped it already or never had it. */
    private static void addUnknown(StepContext context, MemberFact fact) {
        if (fact.status() == MemberStatus.DEAD) {
            return;
        }
        context.state.putMember(new Member(fact, context.nowMillis, false, false));
        queueMember(context, fact, fact);
    }

    /**
     * Queues a changed member for gossip. A new process of a node that was usable before is not urgent: when a whole fleet
     * starts, such facts would use up the byte budget that dead and leaving nodes need. Those of other data centres
     * arrive with the table synchronisation instead.
     */
    private static void queueMember(StepContext context, MemberFact before, MemberFact fact) {
        context.changedFacts.add(fact);
        if (fact.incarnation() == 0 && fact.status() == MemberStatus.ALIVE) {
            return;
        }
        boolean wasUsable = before.status() == MemberStatus.ALIVE && !before.leaving();
        boolean isUsable = fact.status() == MemberStatus.ALIVE && !fact.leaving();
        if (!wasUsable || !isUsable) {
            gossipUrgently(context, memberKey(fact));
        } else if (fact.dataCentre().equals(context.state.dataCentre())) {
            Outbox.add(context, memberKey(fact), false);
        }
    }

    /** Refutes an outdated or false fact about this node, with a higher incarnation where that is needed. */
    private static void refute(StepContext context, MemberFact fact) {
        MemberFact self = context.state.self;
        if (fact.equals(self)) {
            return;
        }
        if (fact.incarnation() < self.incarnation()) {
            if (fact.status() != MemberStatus.ALIVE) {
                // The sender does not know the current process of this node yet.
                Outbox.addIfAbsent(context, memberKey(self));
            }
            return;
        }
        replaceSelf(context, fact.incarnation() + 1, self.leaving());
    }

    static void replaceSelf(StepContext context, long incarnation, boolean leaving) {
        MemberFact self = context.state.self;
        context.state.replaceSelf(new MemberFact(
                self.vm(),
                self.dataCentre(),
                self.address(),
                self.callerPort(),
                incarnation,
                MemberStatus.ALIVE,
                leaving));
        FactKey key = memberKey(self);
        Outbox.add(context, key, true);
        context.urgent.add(key);
    }

    private static void mergeUpstream(StepContext context, UpstreamFact fact) {
        if (fact.remainingSeconds() <= 0) {
            return;
        }
        long expiresAtMillis = context.nowMillis + fact.remainingSeconds() * MILLIS_PER_SECOND;
        TimedFact<UpstreamFact> known = context.state.upstreams.get(fact.upstream());
        int precedence = known == null ? 1 : fact.comparePrecedence(known.fact());
        if (precedence < 0) {
            return;
        }
        if (precedence == 0) {
            // The earlier expiry is kept, so that gossip cannot extend the life of a fact.
            if (expiresAtMillis < known.atMillis()) {
                context.state.putUpstream(known.fact(), expiresAtMillis);
            }
            return;
        }
        context.state.putUpstream(fact, expiresAtMillis);
        context.changedFacts.add(fact);
        gossipUrgently(
                context, new FactKey(FactKey.Kind.UPSTREAM, fact.upstream().value()));
    }

    private static void mergeSuspect(StepContext context, SuspectFact fact) {
        if (fact.remainingSeconds() <= 0) {
            return;
        }
        String id = suspectId(fact);
        long expiresAtMillis = context.nowMillis + fact.remainingSeconds() * MILLIS_PER_SECOND;
        TimedFact<SuspectFact> known = context.state.suspects.get(id);
        if (known != null && (known.fact().cleared() || !fact.cleared())) {
            if (fact.cleared() == known.fact().cleared() && expiresAtMillis < known.atMillis()) {
                context.state.putSuspect(id, known.fact(), expiresAtMillis);
            }
            return;
        }
        context.state.putSuspect(id, fact, expiresAtMillis);
        context.changedFacts.add(fact);
        gossipUrgently(context, new FactKey(FactKey.Kind.SUSPECT, id));
    }

    private static void mergeReach(StepContext context, ReachabilityFact fact) {
        String id = reachId(fact);
        ReachabilityFact known = context.state.reach.get(id);
        ReachabilityFact merged = known == null ? fact : known.merge(fact);
        if (merged.equals(known)) {
            return;
        }
        context.state.reach.put(id, merged);
        context.state.incrementNodesVersion();
        context.changedFacts.add(merged);
        gossipUrgently(context, new FactKey(FactKey.Kind.REACH, id));
    }

    private static void mergeLoad(StepContext context, LoadFact fact) {
        if (fact.ageMillis() >= LOAD_EXPIRY_MILLIS) {
            return;
        }
        TimedFact<LoadFact> known = context.state.loads.get(fact.upstream());
        if (known != null && fact.comparePrecedence(known.fact()) <= 0) {
            return;
        }
        context.state.loads.put(fact.upstream(), new TimedFact<>(fact, context.nowMillis - fact.ageMillis()));
        context.state.version++;
        context.changedFacts.add(fact);
        Outbox.add(context, new FactKey(FactKey.Kind.LOAD, fact.upstream().value()), false);
    }

    /** Merges facts that this node publishes, with versions above the known ones. */
    static void publish(StepContext context, GossipPayload facts) {
        for (UpstreamFact fact : facts.upstreams()) {
            TimedFact<UpstreamFact> known = context.state.upstreams.get(fact.upstream());
            long version = known == null
                    ? fact.version()
                    : Math.max(fact.version(), known.fact().version() + 1);
            mergeUpstream(context, new UpstreamFact(fact.upstream(), fact.leaving(), version, fact.remainingSeconds()));
        }
        facts.suspects().forEach(fact -> mergeSuspect(context, fact));
        for (LoadFact fact : facts.loads()) {
            TimedFact<LoadFact> known = context.state.loads.get(fact.upstream());
            long version = known == null
                    ? fact.version()
                    : Math.max(fact.version(), known.fact().version() + 1);
            mergeLoad(context, withVersion(fact, version));
        }
    }

    private static LoadFact withVersion(LoadFact fact, long version) {
        return new LoadFact(
                fact.upstream(),
                version,
                fact.running(),
                fact.waiting(),
                fact.waitingPromptTokens(),
                fact.prefillTokensPerSecond(),
                fact.slots(),
                fact.loading(),
                fact.ageMillis());
    }

    /** Publishes whether this gateway can reach a data centre. */
    static void publishReach(StepContext context, ReachabilityFact fact) {
        mergeReach(context, fact);
    }

    /** Drops expired facts, and dead nodes that the platform has not listed for some time. */
    static void sweep(StepContext context) {
        MembershipState state = context.state;
        state.upstreams.view().values().stream()
                .filter(timedFact -> timedFact.atMillis() <= context.nowMillis)
                .map(timedFact -> timedFact.fact().upstream())
                .toList()
                .forEach(state::removeUpstream);
        state.suspects.view().values().stream()
                .filter(timedFact -> timedFact.atMillis() <= context.nowMillis)
                .map(timedFact -> suspectId(timedFact.fact()))
                .toList()
                .forEach(state::removeSuspect);
        state.loads.view().values().stream()
                .filter(timedFact -> context.nowMillis - timedFact.atMillis() >= LOAD_EXPIRY_MILLIS)
                .map(timedFact -> timedFact.fact().upstream())
                .toList()
                .forEach(upstream -> {
                    state.loads.remove(upstream);
                    state.version++;
                });
        context.members(member -> isRemovable(context, member))
                .forEach(member -> state.removeMember(member.fact().vm()));
    }

    private static boolean isRemovable(StepContext context, Member member) {
        return member.isDead()
                && !member.listed()
                && context.nowMillis - member.changedMillis() > context.state.settings.deadRetentionMillis();
    }

    private static void gossipUrgently(StepContext context, FactKey key) {
        Outbox.add(context, key, true);
        context.urgent.add(key);
    }

    static FactKey memberKey(MemberFact fact) {
        return new FactKey(FactKey.Kind.MEMBER, fact.vm().value());
    }

    static String suspectId(SuspectFact fact) {
        return fact.fingerprint() + ":" + fact.crash();
    }

    static String reachId(ReachabilityFact fact) {
        return fact.gateway().value() + " " + fact.dataCentre().value();
    }
}
