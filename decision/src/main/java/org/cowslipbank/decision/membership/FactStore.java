package org.cowslipbank.decision.membership;

import org.cowslipbank.model.fleet.Facts;
import org.cowslipbank.model.fleet.LoadFact;
import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.MemberStatus;
import org.cowslipbank.model.fleet.ReachFact;
import org.cowslipbank.model.fleet.SuspectFact;
import org.cowslipbank.model.fleet.UpstreamFact;

/** Merges facts into the state. Each merge is commutative and idempotent, so order and repetition do not matter. */
final class FactStore {
    /** Age in milliseconds beyond which a load digest says nothing any more. */
    static final int LOAD_EXPIRY_MILLIS = 30_000;

    private static final long SECOND_MILLIS = 1_000;

    private FactStore() {}

    static void merge(Step step, Facts facts) {
        facts.members().forEach(fact -> mergeMember(step, fact));
        facts.upstreams().forEach(fact -> mergeUpstream(step, fact));
        facts.reach().forEach(fact -> mergeReach(step, fact));
        facts.suspects().forEach(fact -> mergeSuspect(step, fact));
        facts.loads().forEach(fact -> mergeLoad(step, fact));
    }

    static void mergeMember(Step step, MemberFact fact) {
        if (fact.vm().equals(step.state.self.vm())) {
            refute(step, fact);
            return;
        }
        boolean own = fact.dataCentre().equals(step.state.dataCentre());
        if (fact.status() == MemberStatus.SUSPECT && !own) {
            return;
        }
        Member known = step.state.members.get(fact.vm());
        if (known == null) {
            addUnknown(step, fact);
            return;
        }
        MemberFact merged = known.fact().merge(fact);
        if (!merged.equals(known.fact())) {
            step.state.putMember(new Member(merged, step.nowMillis, known.listed(), known.listedLeaving()));
            announce(step, known.fact(), merged);
        } else if (!fact.equals(merged) && (fact.incarnation() > 0 || fact.status() != MemberStatus.ALIVE)) {
            // The sender lags behind: what it lacks is sent again unless it is on its way already.
            Outbox.addIfAbsent(step, memberKey(merged));
        }
    }

    /** A dead node that is not known here was forgotten or never seen; only the living are added. */
    private static void addUnknown(Step step, MemberFact fact) {
        if (fact.status() == MemberStatus.DEAD) {
            return;
        }
        step.state.putMember(new Member(fact, step.nowMillis, false, false));
        announce(step, fact, fact);
    }

    /**
     * Passes a changed member on. A new process of a node that was not missed is no urgent news; when a whole fleet
     * starts, such facts would use up the bytes that deaths and leaving nodes need. Those of other data centres are
     * found by fetching the table.
     */
    private static void announce(Step step, MemberFact before, MemberFact fact) {
        step.learned.add(fact);
        if (fact.incarnation() == 0 && fact.status() == MemberStatus.ALIVE) {
            return;
        }
        boolean wasUsable = before.status() == MemberStatus.ALIVE && !before.leaving();
        boolean isUsable = fact.status() == MemberStatus.ALIVE && !fact.leaving();
        if (!wasUsable || !isUsable) {
            spread(step, memberKey(fact));
        } else if (fact.dataCentre().equals(step.state.dataCentre())) {
            Outbox.add(step, memberKey(fact), false);
        }
    }

    /** Answers a false statement about this node with a greater incarnation. */
    private static void refute(Step step, MemberFact fact) {
        MemberFact self = step.state.self;
        if (fact.equals(self)) {
            return;
        }
        if (fact.incarnation() < self.incarnation()) {
            if (fact.status() != MemberStatus.ALIVE) {
                // The sender does not know this process yet.
                Outbox.addIfAbsent(step, memberKey(self));
            }
            return;
        }
        replaceSelf(step, fact.incarnation() + 1, self.leaving());
    }

    static void replaceSelf(Step step, long incarnation, boolean leaving) {
        MemberFact self = step.state.self;
        step.state.replaceSelf(new MemberFact(
                self.vm(),
                self.dataCentre(),
                self.address(),
                self.callerPort(),
                incarnation,
                MemberStatus.ALIVE,
                leaving));
        FactKey key = memberKey(self);
        Outbox.add(step, key, true);
        step.urgent.add(key);
    }

    private static void mergeUpstream(Step step, UpstreamFact fact) {
        if (fact.remainingSeconds() <= 0) {
            return;
        }
        long deadline = step.nowMillis + fact.remainingSeconds() * SECOND_MILLIS;
        Held<UpstreamFact> known = step.state.upstreams.get(fact.upstream());
        int order = known == null ? 1 : fact.comparePrecedence(known.fact());
        if (order < 0) {
            return;
        }
        if (order == 0) {
            // The earlier end wins, so that a fact cannot be kept alive by being passed around.
            if (deadline < known.atMillis()) {
                step.state.putUpstream(known.fact(), deadline);
            }
            return;
        }
        step.state.putUpstream(fact, deadline);
        step.learned.add(fact);
        spread(step, new FactKey(FactKey.Kind.UPSTREAM, fact.upstream().value()));
    }

    private static void mergeSuspect(Step step, SuspectFact fact) {
        if (fact.remainingSeconds() <= 0) {
            return;
        }
        String id = suspectId(fact);
        long deadline = step.nowMillis + fact.remainingSeconds() * SECOND_MILLIS;
        Held<SuspectFact> known = step.state.suspects.get(id);
        if (known != null && (known.fact().cleared() || !fact.cleared())) {
            if (fact.cleared() == known.fact().cleared() && deadline < known.atMillis()) {
                step.state.putSuspect(id, known.fact(), deadline);
            }
            return;
        }
        step.state.putSuspect(id, fact, deadline);
        step.learned.add(fact);
        spread(step, new FactKey(FactKey.Kind.SUSPECT, id));
    }

    private static void mergeReach(Step step, ReachFact fact) {
        String id = reachId(fact);
        ReachFact known = step.state.reach.get(id);
        ReachFact merged = known == null ? fact : known.merge(fact);
        if (merged.equals(known)) {
            return;
        }
        step.state.reach.put(id, merged);
        step.state.nodesChanged();
        step.learned.add(merged);
        spread(step, new FactKey(FactKey.Kind.REACH, id));
    }

    private static void mergeLoad(Step step, LoadFact fact) {
        if (fact.ageMillis() >= LOAD_EXPIRY_MILLIS) {
            return;
        }
        Held<LoadFact> known = step.state.loads.get(fact.upstream());
        if (known != null && fact.comparePrecedence(known.fact()) <= 0) {
            return;
        }
        step.state.loads.put(fact.upstream(), new Held<>(fact, step.nowMillis - fact.ageMillis()));
        step.state.version++;
        step.learned.add(fact);
        Outbox.add(step, new FactKey(FactKey.Kind.LOAD, fact.upstream().value()), false);
    }

    /** Raises the versions of this node's own statements above the known ones. */
    static void publish(Step step, Facts facts) {
        for (UpstreamFact fact : facts.upstreams()) {
            Held<UpstreamFact> known = step.state.upstreams.get(fact.upstream());
            long version = known == null
                    ? fact.version()
                    : Math.max(fact.version(), known.fact().version() + 1);
            mergeUpstream(step, new UpstreamFact(fact.upstream(), fact.leaving(), version, fact.remainingSeconds()));
        }
        facts.suspects().forEach(fact -> mergeSuspect(step, fact));
        for (LoadFact fact : facts.loads()) {
            Held<LoadFact> known = step.state.loads.get(fact.upstream());
            long version = known == null
                    ? fact.version()
                    : Math.max(fact.version(), known.fact().version() + 1);
            mergeLoad(step, withVersion(fact, version));
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

    /** States whether this gateway hears from a data centre. */
    static void publishReach(Step step, ReachFact fact) {
        mergeReach(step, fact);
    }

    /** Drops what has expired and forgets dead nodes that the platform no longer lists. */
    static void sweep(Step step) {
        MembershipState state = step.state;
        state.upstreams.view().values().stream()
                .filter(held -> held.atMillis() <= step.nowMillis)
                .map(held -> held.fact().upstream())
                .toList()
                .forEach(state::removeUpstream);
        state.suspects.view().values().stream()
                .filter(held -> held.atMillis() <= step.nowMillis)
                .map(held -> suspectId(held.fact()))
                .toList()
                .forEach(state::removeSuspect);
        state.loads.view().values().stream()
                .filter(held -> step.nowMillis - held.atMillis() >= LOAD_EXPIRY_MILLIS)
                .map(held -> held.fact().upstream())
                .toList()
                .forEach(upstream -> {
                    state.loads.remove(upstream);
                    state.version++;
                });
        step.members(member -> isForgotten(step, member))
                .forEach(member -> state.removeMember(member.fact().vm()));
    }

    private static boolean isForgotten(Step step, Member member) {
        return member.isDead()
                && !member.listed()
                && step.nowMillis - member.changedMillis() > step.state.settings.forgetMillis();
    }

    private static void spread(Step step, FactKey key) {
        Outbox.add(step, key, true);
        step.urgent.add(key);
    }

    static FactKey memberKey(MemberFact fact) {
        return new FactKey(FactKey.Kind.MEMBER, fact.vm().value());
    }

    static String suspectId(SuspectFact fact) {
        return fact.fingerprint() + ":" + fact.crash();
    }

    static String reachId(ReachFact fact) {
        return fact.gateway().value() + " " + fact.dataCentre().value();
    }
}
