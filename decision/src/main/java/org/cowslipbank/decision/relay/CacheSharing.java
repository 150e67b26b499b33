package org.cowslipbank.decision.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.model.relay.RelayTeam;

/**
 * Which teams share cached prompt parts under one configuration. An isolated team has a group of its own, all others share
 * one whose name depends on the set of isolated teams.
 *
 * <p>A group is thus used only by teams that are not isolated in the configurations that use it: what a team made before it
 * became isolated stays behind in another group, and no node needs to know earlier configurations. The price is that all
 * shared parts are read once more when a team becomes isolated or ceases to be.
 */
public final class CacheSharing {
    /** Nobody is isolated. */
    public static final CacheSharing NONE_ISOLATED = new CacheSharing(Set.of());

    // Escaped names of teams contain no slash, so that no team's group is that of the other teams.
    private static final String COMMON_PREFIX = "/";
    private static final int DIGEST_BYTES = 16;

    private final Set<String> isolatedTeams;
    private final Set<String> groups;
    private final String commonGroup;

    private CacheSharing(Set<String> isolatedTeams) {
        this.isolatedTeams = isolatedTeams;
        this.commonGroup = isolatedTeams.isEmpty() ? "" : COMMON_PREFIX + digest(new TreeSet<>(isolatedTeams));
        this.groups = isolatedTeams.stream().map(CacheSharing::escape).collect(Collectors.toSet());
        groups.add(commonGroup);
    }

    /**
     * Returns the sharing of a configuration.
     *
     * @param teams its teams
     * @return the sharing
     */
    public static CacheSharing of(Collection<RelayTeam> teams) {
        return new CacheSharing(
                teams.stream().filter(RelayTeam::isolated).map(RelayTeam::name).collect(Collectors.toSet()));
    }

    /**
     * Returns the group with which a request shares cached parts.
     *
     * @param team the request's team as it was when the request was read, empty on anonymous routes
     * @return the group's name, part of the {@link CacheScope}
     */
    public String groupOf(Optional<RelayTeam> team) {
        // The team may have become isolated, or have been removed, since the request was read.
        return team.filter(known -> known.isolated() || isolatedTeams.contains(known.name()))
                .map(known -> escape(known.name()))
                .orElse(commonGroup);
    }

    /**
     * Returns whether requests may use a group's parts under this configuration.
     *
     * @param group the group's name
     * @return false if no request of this configuration belongs to the group
     */
    public boolean uses(String group) {
        // Nodes of earlier releases share under the empty name, whoever is isolated.
        return group.isEmpty() || groups.contains(group);
    }

    /**
     * Returns whether requests of this configuration belong to groups that another configuration does not use.
     *
     * @param other the sharing of the other configuration
     * @return false if all groups are used by the other one
     */
    boolean usesGroupsBeside(CacheSharing other) {
        return !groups.stream().allMatch(other::uses);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CacheSharing sharing && isolatedTeams.equals(sharing.isolatedTeams);
    }

    @Override
    public int hashCode() {
        return isolatedTeams.hashCode();
    }

    private static String escape(String team) {
        return team.replace("%", "%25").replace("/", "%2F");
    }

    private static String digest(Set<String> sortedTeams) {
        String names = Rendezvous.key(sortedTeams.toArray(String[]::new));
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(names.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
