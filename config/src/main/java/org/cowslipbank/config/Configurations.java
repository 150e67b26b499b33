package org.cowslipbank.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.UnaryOperator;

import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;

/** Entry point of the operators' library for building and printing a configuration. */
public final class Configurations {
    private static final DecisionWeights DEFAULT_WEIGHTS = new DecisionWeights(1, 0.1, 0.1);
    private static final TeamLimits DEFAULT_LIMITS = new TeamLimits(10, 20, 20, 1);

    private Configurations() {}

    /**
     * Returns an empty builder.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns a configuration without teams, models, services, upstreams and stores, at revision zero.
     *
     * @return the configuration
     */
    public static Configuration empty() {
        return builder().build();
    }

    /**
     * Returns the digest by which the configuration identifies a bearer key.
     *
     * @param bearerKey the key
     * @return its SHA-256 in lower-case hexadecimal
     */
    public static String keySha256(String bearerKey) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(bearerKey.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the JDK does not provide SHA-256", e);
        }
    }

    /** Builder of a configuration. */
    public static final class Builder {
        private final List<Team> teams = new ArrayList<>();
        private final List<Model> models = new ArrayList<>();
        private final List<Service> services = new ArrayList<>();
        private final List<Upstream> upstreams = new ArrayList<>();
        private final List<StoreVm> stores = new ArrayList<>();
        private DecisionWeights weights = DEFAULT_WEIGHTS;

        private Builder() {}

        /**
         * Adds a team.
         *
         * @param id the team's identifier
         * @param homeRegion region whose key-value service holds the team's claims
         * @param details sets keys, limits, models and services
         * @return this builder
         */
        public Builder team(String id, String homeRegion, UnaryOperator<TeamBuilder> details) {
            teams.add(details.apply(new TeamBuilder(id, homeRegion)).build());
            return this;
        }

        /**
         * Adds an engine in state {@link UpstreamState#ACTIVE}.
         *
         * @param id the upstream's identifier
         * @param dataCentre its data centre
         * @param address its address as {@code IP:port}
         * @param refusesOldFencingTokens true if the engine rejects orders with an old fencing token
         * @return this builder
         */
        public Builder engine(String id, String dataCentre, String address, boolean refusesOldFencingTokens) {
            return upstream(id, UpstreamKind.ENGINE, dataCentre, address, refusesOldFencingTokens);
        }

        /**
         * Adds an instance of a plain service in state {@link UpstreamState#ACTIVE}.
         *
         * @param id the upstream's identifier
         * @param dataCentre its data centre
         * @param address its address as {@code IP:port}
         * @return this builder
         */
        public Builder serviceInstance(String id, String dataCentre, String address) {
            return upstream(id, UpstreamKind.SERVICE, dataCentre, address, false);
        }

        /**
         * Adds a model with one version.
         *
         * @param name the model's name
         * @param weightVersion the weight version, which becomes the active one
         * @param engines identifiers of the engines allowed to serve it
         * @return this builder
         */
        public Builder model(String name, String weightVersion, List<String> engines) {
            ModelVersion version = new ModelVersion(weightVersion, List.of(), toUpstreamIds(engines));
            return model(new Model(name, weightVersion, List.of(version)));
        }

        /**
         * Adds a model.
         *
         * @param model the model
         * @return this builder
         */
        public Builder model(Model model) {
            models.add(model);
            return this;
        }

        /**
         * Adds a plain service.
         *
         * @param name the service's name
         * @param instances identifiers of its instances
         * @param repeatableMethods HTTP methods whose calls may safely be repeated
         * @return this builder
         */
        public Builder service(String name, List<String> instances, List<String> repeatableMethods) {
            services.add(new Service(name, toUpstreamIds(instances), repeatableMethods));
            return this;
        }

        /**
         * Adds a store VM.
         *
         * @param id the store's identifier
         * @param dataCentre its data centre
         * @param address its address as {@code IP:port}
         * @param linkBytesPerSecond bandwidth of its link in bytes per second
         * @return this builder
         */
        public Builder store(String id, String dataCentre, String address, long linkBytesPerSecond) {
            stores.add(new StoreVm(new StoreId(id), new DataCentreId(dataCentre), address, linkBytesPerSecond));
            return this;
        }

        /**
         * Sets the weights of the terms of the routing cost.
         *
         * @param timeToFirstToken weight of a millisecond until the first token
         * @param recompute weight of a millisecond of prompt recomputation
         * @param link weight of a millisecond of link use
         * @return this builder
         */
        public Builder weights(double timeToFirstToken, double recompute, double link) {
            weights = new DecisionWeights(timeToFirstToken, recompute, link);
            return this;
        }

        /**
         * Returns the configuration at revision zero without validating it.
         *
         * @return the configuration
         */
        public Configuration build() {
            return new Configuration(0, teams, models, services, upstreams, stores, weights);
        }

        /**
         * Validates and prints the configuration.
         *
         * @return the canonical text
         * @throws ConfigurationException if the configuration is invalid; line and path refer to the printed text
         */
        public String print() throws ConfigurationException {
            String text = ConfigurationPrinter.print(build());
            ConfigurationParser.parse("builder", text);
            return text;
        }

        private Builder upstream(
                String id, UpstreamKind kind, String dataCentre, String address, boolean refusesOldFencingTokens) {
            upstreams.add(new Upstream(
                    new UpstreamId(id),
                    kind,
                    new DataCentreId(dataCentre),
                    address,
                    UpstreamState.ACTIVE,
                    refusesOldFencingTokens));
            return this;
        }

        private static List<UpstreamId> toUpstreamIds(List<String> names) {
            return names.stream().map(UpstreamId::new).toList();
        }
    }

    /** Builder of a team. */
    public static final class TeamBuilder {
        private final String id;
        private final String homeRegion;
        private final List<String> keys = new ArrayList<>();
        private TeamLimits limits = DEFAULT_LIMITS;
        private List<String> models = List.of();
        private List<String> services = List.of();

        private TeamBuilder(String id, String homeRegion) {
            this.id = id;
            this.homeRegion = homeRegion;
        }

        /**
         * Adds a bearer key by its digest; see {@link Configurations#keySha256(String)}.
         *
         * @param keySha256 SHA-256 of the key in lower-case hexadecimal
         * @return this builder
         */
        public TeamBuilder key(String keySha256) {
            keys.add(keySha256);
            return this;
        }

        /**
         * Sets the limits.
         *
         * @param requestsPerSecond sustained rate of admitted requests per second
         * @param burstRequests maximum number of requests admitted at once after an idle time
         * @param concurrentRequests maximum number of requests in flight
         * @param weight share in fair queueing
         * @return this builder
         */
        public TeamBuilder limits(double requestsPerSecond, int burstRequests, int concurrentRequests, double weight) {
            limits = new TeamLimits(requestsPerSecond, burstRequests, concurrentRequests, weight);
            return this;
        }

        /**
         * Sets the models that the team may use.
         *
         * @param names their names
         * @return this builder
         */
        public TeamBuilder models(String... names) {
            models = List.of(names);
            return this;
        }

        /**
         * Sets the plain services that the team may call.
         *
         * @param names their names
         * @return this builder
         */
        public TeamBuilder services(String... names) {
            services = List.of(names);
            return this;
        }

        private Team build() {
            return new Team(new TeamId(id), keys, limits, models, services, homeRegion);
        }
    }
}
