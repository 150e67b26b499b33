package org.cowslipbank.config;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;

/** A change of the configuration, applied to the revision in force at the time of the change. */
@FunctionalInterface
public interface ConfigurationEdit {
    /**
     * Applies the change.
     *
     * @param current the configuration in force
     * @return the changed configuration; its revision is ignored
     * @throws ConfigurationException if the change cannot be applied to the configuration in force
     */
    Configuration apply(Configuration current) throws ConfigurationException;

    /**
     * Returns an edit that replaces the whole configuration.
     *
     * @param next the new configuration
     * @return the edit
     */
    static ConfigurationEdit replace(Configuration next) {
        return current -> next;
    }

    /**
     * Returns an edit that adds a team or replaces the team with the same identifier.
     *
     * @param team the team
     * @return the edit
     */
    static ConfigurationEdit putTeam(Team team) {
        return current -> withTeams(
                current, putItem(current.teams(), team, old -> old.id().equals(team.id())));
    }

    /**
     * Returns an edit that removes a team.
     *
     * @param id the team
     * @return the edit; it fails if there is no such team
     */
    static ConfigurationEdit removeTeam(TeamId id) {
        return current -> {
            List<Team> rest = current.teams().stream()
                    .filter(team -> !team.id().equals(id))
                    .toList();
            if (rest.size() == current.teams().size()) {
                throw new ConfigurationException("change", 0, "$.teams", "'" + id + "' is unknown; expected a team");
            }
            return withTeams(current, rest);
        };
    }

    /**
     * Returns an edit that adds a model or replaces the model with the same name.
     *
     * @param model the model
     * @return the edit
     */
    static ConfigurationEdit putModel(Model model) {
        return current -> new Configuration(
                current.revision(),
                current.teams(),
                putItem(current.models(), model, old -> old.name().equals(model.name())),
                current.services(),
                current.upstreams(),
                current.stores(),
                current.weights());
    }

    /**
     * Returns an edit that sets whether an upstream accepts new work.
     *
     * @param id the upstream
     * @param state the new state
     * @return the edit; it fails if there is no such upstream
     */
    static ConfigurationEdit setUpstreamState(UpstreamId id, UpstreamState state) {
        return current -> {
            Upstream old = current.upstreams().stream()
                    .filter(upstream -> upstream.id().equals(id))
                    .findFirst()
                    .orElseThrow(() -> new ConfigurationException(
                            "change", 0, "$.upstreams", "'" + id + "' is unknown; expected an upstream"));
            Upstream changed =
                    new Upstream(id, old.kind(), old.dataCentre(), old.address(), state, old.refusesOldFencingTokens());
            return new Configuration(
                    current.revision(),
                    current.teams(),
                    current.models(),
                    current.services(),
                    putItem(current.upstreams(), changed, upstream -> upstream.id()
                            .equals(id)),
                    current.stores(),
                    current.weights());
        };
    }

    private static Configuration withTeams(Configuration current, List<Team> teams) {
        return new Configuration(
                current.revision(),
                teams,
                current.models(),
                current.services(),
                current.upstreams(),
                current.stores(),
                current.weights());
    }

    private static <T> List<T> putItem(List<T> items, T item, Predicate<T> same) {
        List<T> next = new ArrayList<>(items);
        for (int i = 0; i < next.size(); i++) {
            if (same.test(next.get(i))) {
                next.set(i, item);
                return next;
            }
        }
        next.add(item);
        return next;
    }
}
