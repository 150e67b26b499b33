package org.cowslipbank.decision.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ConfigurationEdit;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.config.Team;
import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.model.ConfigurationException;

final class ChangePlanTest {
    private static final int TEAMS = 600;
    private static final int CHANGES = 60;

    private final Map<String, byte[]> values = new HashMap<>();

    /** Guards against a change that rewrites the shards of other teams, and against shards that cannot be assembled. */
    @Example
    void changeOfOneTeamWritesOneShard() throws ConfigurationException {
        Configuration first = sample();
        ChangePlan plan = ChangePlan.of(ConfigurationRoot.EMPTY, Configurations.empty(), first, metadata(0));
        values.putAll(plan.newValues());
        check(plan.root().teams().size() > 1);
        Configuration second = limited(first, 7, 99);
        ChangePlan change = ChangePlan.of(plan.root(), first, second, metadata(1));
        check(change.newValues().size() == 1 && change.replacedKeys().size() == 1);
        values.putAll(change.newValues());
        List<List<Team>> teams = change.root().teams().stream()
                .map(shard -> ConfigurationShards.readTeams(values.get(shard.key())))
                .toList();
        byte[] fleet = values.get(change.root().fleet().key());
        Configuration read = ConfigurationShards.assemble(change.root(), fleet, teams);
        check(read.revision() == 2
                && read.teams().size() == TEAMS
                && read.teams().containsAll(second.teams()));
    }

    /** Guards against audit records that are lost when older ones are moved out of the root. */
    @Example
    void everyChangeKeepsItsRecord() throws ConfigurationException {
        Configuration current = sample();
        ConfigurationRoot root = ConfigurationRoot.EMPTY;
        Configuration before = Configurations.empty();
        for (int i = 0; i < CHANGES; i++) {
            ChangePlan plan = ChangePlan.of(root, before, current, metadata(i));
            values.putAll(plan.newValues());
            root = ConfigurationShards.readRoot(ConfigurationShards.write(plan.root()));
            check(ConfigurationShards.write(root).length < 20_000);
            before = current;
            current = limited(current, i, 20 + i);
        }
        List<AuditRecord> audit = new ArrayList<>(root.audit());
        for (String key = root.auditKey(); !key.isEmpty(); ) {
            AuditChunk chunk = ConfigurationShards.readChunk(values.get(key));
            audit.addAll(0, chunk.records());
            key = chunk.previousKey();
        }
        check(audit.size() == CHANGES && root.audit().size() < CHANGES);
        for (int i = 0; i < CHANGES; i++) {
            check(audit.get(i).revision() == i + 1 && audit.get(i).changeId().equals("change-" + i));
        }
    }

    /** Guards against a node that serves with a stale revision, and against one that refuses although it may serve. */
    @Example
    void nodeServesOnlyWhileItsRevisionIsCurrentOrPeersAreCutOffToo() {
        ServingState confirmed = ServingState.START.onPlatformRevision(3, 100).onRevisionApplied(3, 100);
        // The staleness bound is 4,000 ms.
        check(serves(confirmed, 4_100) && !serves(confirmed, 4_101));
        check(serves(confirmed.onPeerRevision(3, 900, 1_000), 4_900));
        check(serves(confirmed.onPeerRevision(3, 90, 4_500), 8_000));
        check(!serves(confirmed.onPeerRevision(3, 90, 4_500).onPause(), 4_600));
        check(!serves(confirmed.onPeerRevision(4, 4_400, 4_500), 4_600));
        check(!serves(confirmed.onPeerRevision(ServingState.NO_REVISION, ServingState.NEVER, 4_500), 4_600));
        check(confirmed.onRevisionApplied(2, 200).revision() == 3);
    }

    private static boolean serves(ServingState state, long nowMillis) {
        return ServingState.decide(new ServingState.Input(state, nowMillis, 4_000))
                .serves();
    }

    private static ChangeMetadata metadata(int i) {
        return new ChangeMetadata(
                "change-" + i, "operator", "a reason of some length to fill the record", i, List.of());
    }

    private static Configuration sample() {
        Configurations.Builder builder = Configurations.builder();
        for (int i = 0; i < TEAMS; i++) {
            builder.team("team-" + i, "mu-west", team -> team);
        }
        return builder.build();
    }

    private static Configuration limited(Configuration current, int index, double perSecond)
            throws ConfigurationException {
        Team team = current.teams().get(index);
        TeamLimits limits = new TeamLimits(perSecond, 20, 20, 1);
        return ConfigurationEdit.putTeam(new Team(
                        team.id(), team.keySha256(), limits, team.models(), team.services(), team.homeRegion()))
                .apply(current);
    }

    private static void check(boolean condition) {
        if (!condition) {
            throw new AssertionError();
        }
    }
}
