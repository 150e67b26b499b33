package org.cowslipbank.bench.config;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.config.Team;
import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.model.TeamId;

/** Builds valid configurations of a given size. */
public final class SampleConfigurations {
    private static final int MODELS = 9;

    private SampleConfigurations() {}

    /**
     * Builds a configuration that passes validation.
     *
     * @param teams number of teams
     * @param engines number of engines
     * @param dataCentres number of data centres
     * @return the configuration at revision zero
     */
    public static Configuration of(int teams, int engines, int dataCentres) {
        Configurations.Builder builder = Configurations.builder();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            ids.add("engine-" + i);
            builder.engine("engine-" + i, "dc" + i % dataCentres, "10.1." + i / 250 + "." + i % 250 + ":8000", true);
        }
        for (int i = 0; i < MODELS; i++) {
            builder.model("model-" + i, "v1", ids);
        }
        for (int i = 0; i < teams; i++) {
            String key = Configurations.keySha256("key-" + i);
            String model = "model-" + i % MODELS;
            builder.team("team-" + i, "mu-west", team -> team.key(key)
                    .models(model, "model-0".equals(model) ? "model-1" : "model-0"));
        }
        return builder.build();
    }

    /**
     * Returns a copy of a team with another request limit.
     *
     * @param configuration the configuration
     * @param index index of the team
     * @param requestsPerSecond the new limit in requests per second
     * @return the changed team
     */
    public static Team withLimit(Configuration configuration, int index, double requestsPerSecond) {
        Team team = configuration.teams().get(index);
        TeamLimits limits = new TeamLimits(requestsPerSecond, 20, 20, 1);
        return new Team(
                new TeamId(team.id().value()),
                team.keySha256(),
                limits,
                team.models(),
                team.services(),
                team.homeRegion());
    }
}
