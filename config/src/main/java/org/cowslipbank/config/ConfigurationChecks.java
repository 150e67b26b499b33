package org.cowslipbank.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.UpstreamId;

/** Checks a configuration for references to unknown entries and for duplicates, which the schema cannot express. */
public final class ConfigurationChecks {
    private final Configuration configuration;
    private final List<ConfigurationProblem> problems = new ArrayList<>();
    private final Map<UpstreamId, UpstreamKind> kindsById = new HashMap<>();

    private ConfigurationChecks(Configuration configuration) {
        this.configuration = configuration;
        configuration.upstreams().forEach(upstream -> kindsById.putIfAbsent(upstream.id(), upstream.kind()));
    }

    /**
     * Checks a configuration that was built or edited in memory. Teams that an already valid configuration contains are
     * only checked for references and duplicates, since checking thousands of teams against the schema takes long.
     *
     * @param source name of the source, used in messages
     * @param validated a configuration that is known to be valid
     * @param next the configuration to check
     * @throws ConfigurationException the first problem found; its line and path refer either to the printed configuration
     *     with only the changed teams, or, with line zero, to the configuration in canonical order
     */
    public static void requireValid(String source, Configuration validated, Configuration next)
            throws ConfigurationException {
        Set<Team> validatedTeams = new HashSet<>(validated.teams());
        List<Team> changed = next.teams().stream()
                .filter(team -> !validatedTeams.contains(team))
                .toList();
        Configuration reduced = new Configuration(
                next.revision(),
                changed,
                next.models(),
                next.services(),
                next.upstreams(),
                next.stores(),
                next.weights());
        ConfigurationParser.parse(source, ConfigurationPrinter.print(reduced));
        List<ConfigurationProblem> problems = findProblems(ConfigurationPrinter.toCanonicalOrder(next));
        if (!problems.isEmpty()) {
            throw new ConfigurationException(
                    source, 0, problems.get(0).path(), problems.get(0).message());
        }
    }

    static List<ConfigurationProblem> findProblems(Configuration configuration) {
        ConfigurationChecks checks = new ConfigurationChecks(configuration);
        checks.checkDuplicates();
        checks.checkTeams();
        checks.checkModels();
        checks.checkServices();
        return checks.problems;
    }

    private void checkDuplicates() {
        checkUnique("$.teams[%d].id", configuration.teams(), team -> team.id().value());
        checkUnique("$.models[%d].name", configuration.models(), Model::name);
        checkUnique("$.services[%d].name", configuration.services(), Service::name);
        checkUnique(
                "$.upstreams[%d].id",
                configuration.upstreams(), upstream -> upstream.id().value());
        checkUnique("$.upstreams[%d].address", configuration.upstreams(), Upstream::address);
        checkUnique(
                "$.stores[%d].id", configuration.stores(), store -> store.id().value());
        checkUnique("$.stores[%d].address", configuration.stores(), StoreVm::address);
    }

    // A bearer key shared by two teams would give one team access to the other's answers.
    private void checkTeams() {
        Set<String> models = configuration.models().stream().map(Model::name).collect(Collectors.toSet());
        Set<String> services =
                configuration.services().stream().map(Service::name).collect(Collectors.toSet());
        Map<String, String> keyOwners = new HashMap<>();
        for (int i = 0; i < configuration.teams().size(); i++) {
            Team team = configuration.teams().get(i);
            String path = "$.teams[" + i + "]";
            checkReferences(path + ".models", team.models(), models, "a model of this configuration");
            checkReferences(path + ".services", team.services(), services, "a service of this configuration");
            for (int k = 0; k < team.keySha256().size(); k++) {
                String owner = keyOwners.putIfAbsent(team.keySha256().get(k), path + ".keySha256[" + k + "]");
                if (owner != null) {
                    addProblem(path + ".keySha256[" + k + "]", "the key is already at " + owner + "; use another key");
                }
            }
        }
    }

    private void checkModels() {
        for (int i = 0; i < configuration.models().size(); i++) {
            Model model = configuration.models().get(i);
            String path = "$.models[" + i + "]";
            checkUnique(path + ".versions[%d].weightVersion", model.versions(), ModelVersion::weightVersion);
            List<String> versions =
                    model.versions().stream().map(ModelVersion::weightVersion).toList();
            if (!versions.contains(model.activeVersion())) {
                addProblem(
                        path + ".activeVersion",
                        "'" + model.activeVersion() + "' is unknown; expected one of " + versions);
            }
            for (int v = 0; v < model.versions().size(); v++) {
                ModelVersion version = model.versions().get(v);
                String versionPath = path + ".versions[" + v + "]";
                checkUnique(versionPath + ".adapters[%d]", version.adapters(), Function.identity());
                checkUpstreams(versionPath + ".upstreams", version.upstreams(), UpstreamKind.ENGINE);
            }
        }
    }

    private void checkServices() {
        for (int i = 0; i < configuration.services().size(); i++) {
            Service service = configuration.services().get(i);
            String path = "$.services[" + i + "]";
            checkUnique(path + ".repeatableMethods[%d]", service.repeatableMethods(), Function.identity());
            checkUpstreams(path + ".upstreams", service.upstreams(), UpstreamKind.SERVICE);
        }
    }

    private void checkUpstreams(String path, List<UpstreamId> ids, UpstreamKind kind) {
        checkUnique(path + "[%d]", ids, UpstreamId::value);
        for (int i = 0; i < ids.size(); i++) {
            UpstreamKind found = kindsById.get(ids.get(i));
            if (found == null) {
                addProblem(
                        path + "[" + i + "]",
                        "'" + ids.get(i) + "' is unknown; expected an upstream of this configuration");
            } else if (found != kind) {
                addProblem(
                        path + "[" + i + "]", "'" + ids.get(i) + "' is of kind " + found + "; expected kind " + kind);
            }
        }
    }

    private void checkReferences(String path, List<String> names, Set<String> knownNames, String expected) {
        checkUnique(path + "[%d]", names, Function.identity());
        for (int i = 0; i < names.size(); i++) {
            if (!knownNames.contains(names.get(i))) {
                addProblem(path + "[" + i + "]", "'" + names.get(i) + "' is unknown; expected " + expected);
            }
        }
    }

    private <T> void checkUnique(String pathFormat, List<T> items, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < items.size(); i++) {
            String text = name.apply(items.get(i));
            if (!seen.add(text)) {
                addProblem(String.format(pathFormat, i), "'" + text + "' is given twice; expected a unique value");
            }
        }
    }

    private void addProblem(String path, String expected) {
        problems.add(new ConfigurationProblem(path, expected));
    }
}
