package org.cowslipbank.entry.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.Model;
import org.cowslipbank.config.ModelVersion;
import org.cowslipbank.config.Service;
import org.cowslipbank.config.StoreVm;
import org.cowslipbank.config.Team;
import org.cowslipbank.config.Upstream;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;

/** An immutable index over one revision of the configuration, for lookups by traffic threads. */
public final class ConfigurationIndex {
    private final Configuration configuration;
    private final Map<String, Team> teamsByKeySha256 = new HashMap<>();
    private final Map<TeamId, Team> teams;
    private final Map<String, Model> models;
    private final Map<String, Service> services;
    private final Map<UpstreamId, Upstream> upstreams;
    private final Map<StoreId, StoreVm> stores;

    /**
     * Indexes a configuration.
     *
     * @param configuration the configuration
     */
    public ConfigurationIndex(Configuration configuration) {
        this.configuration = configuration;
        this.teams = index(configuration.teams(), Team::id);
        this.models = index(configuration.models(), Model::name);
        this.services = index(configuration.services(), Service::name);
        this.upstreams = index(configuration.upstreams(), Upstream::id);
        this.stores = index(configuration.stores(), StoreVm::id);
        for (Team team : configuration.teams()) {
            team.keySha256().forEach(key -> teamsByKeySha256.put(key, team));
        }
    }

    /**
     * Returns the indexed configuration.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Finds the team to which a bearer key belongs.
     *
     * @param keySha256 SHA-256 of the key in lower-case hexadecimal
     * @return the team, or empty if it is not configured
     */
    public Optional<Team> teamByKey(String keySha256) {
        return Optional.ofNullable(teamsByKeySha256.get(keySha256));
    }

    /**
     * Finds a team.
     *
     * @param id the team's identifier
     * @return the team, or empty if it is not configured
     */
    public Optional<Team> team(TeamId id) {
        return Optional.ofNullable(teams.get(id));
    }

    /**
     * Finds a model.
     *
     * @param name the name
     * @return the model, or empty if it is not configured
     */
    public Optional<Model> model(String name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Finds the active version of a model, on which its new requests run.
     *
     * @param model the model
     * @return the version, or empty if the active version is not listed
     */
    public static Optional<ModelVersion> activeVersion(Model model) {
        return model.versions().stream()
                .filter(version -> version.weightVersion().equals(model.activeVersion()))
                .findFirst();
    }

    /**
     * Finds a plain service.
     *
     * @param name the name
     * @return the service, or empty if it is not configured
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds an upstream.
     *
     * @param id the identifier
     * @return the upstream, or empty if it is not configured
     */
    public Optional<Upstream> upstream(UpstreamId id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Finds a store VM.
     *
     * @param id the identifier
     * @return the store, or empty if it is not configured
     */
    public Optional<StoreVm> store(StoreId id) {
        return Optional.ofNullable(stores.get(id));
    }

    private static <K, V> Map<K, V> index(Iterable<V> values, Function<V, K> key) {
        return StreamSupport.stream(values.spliterator(), false)
                .collect(Collectors.toUnmodifiableMap(key, Function.identity()));
    }
}
