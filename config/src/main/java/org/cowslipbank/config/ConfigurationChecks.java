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

/** Checks of a configuration as a whole: unknown references and duplicates. */
public final class ConfigurationChecks {
    private final Configuration configuration;
    private final List<Problem> problems = new ArrayList<>();
    private final Map<UpstreamId, UpstreamKind> kinds = new HashMap<>();

    private ConfigurationChecks(Configuration configuration) {
        this.configuration = configuration;
        configuration.upstreams().forEach(upstream -> kinds.putIfAbsent(upstream.id(), upstream.kind()));
    }

    /**
     * Checks a configuration that was built or edited in memory. Teams that an already checked configuration holds are
     * only checked against the rest, since the structure of thousands of teams takes long to check.
     *
     * @param source name of the source, used in messages
     * @param checked a configuration that has been checked before
     * @param next the configuration to check
     * @throws ConfigurationException the first problem; line and path are those of the print of the changed teams and
     *     the other sections, or the line is zero and the path is that of the canonical order
     */
    public static void require(String source, Configuration checked, Configuration next) throws ConfigurationException {
        Set<Team> known = new HashSet<>(checked.teams());
        List<Team> changed =
                next.teams().stream().filter(team -> !known.contains(team)).toList();
        Configuration reduced = new Configuration(
                next.revision(),
                changed,
                next.models(),
                next.services(),
                next.upstreams(),
                next.stores(),
                next.weights());
        ConfigurationParser.parse(source, ConfigurationPrinter.print(reduced));
        List<Problem> problems = problems(ConfigurationPrinter.canonical(next));
        if (!problems.isEmpty()) {
            throw new ConfigurationException(
                    source, 0, problems.get(0).path(), problems.get(0).expected());
        }
    }

    static List<Problem> problems(Configuration configuration) {
        ConfigurationChecks checks = new ConfigurationChecks(configuration);
        checks.duplicates();
        checks.teams();
        checks.models();
        checks.services();
        return checks.problems;
    }

    private void duplicates() {
        unique("$.teams[%d].id", configuration.teams(), team -> team.id().value());
        unique("$.models[%d].name", configuration.models(), Model::name);
        unique("$.services[%d].name", configuration.services(), Service::name);
        unique(
                "$.upstreams[%d].id",
                configuration.upstreams(), upstream -> upstream.id().value());
        unique("$.upstreams[%d].address", configuration.upstreams(), Upstream::address);
        unique("$.stores[%d].id", configuration.stores(), store -> store.id().value());
        unique("$.stores[%d].address", configuration.stores(), StoreVm::address);
    }

    // A key that two teams share would let one team read the other's answers.
    private void teams() {
        Set<String> models = configuration.models().stream().map(Model::name).collect(Collectors.toSet());
        Set<String> services =
                configuration.services().stream().map(Service::name).collect(Collectors.toSet());
        Map<String, String> keyOwners = new HashMap<>();
        for (int i = 0; i < configuration.teams().size(); i++) {
            Team team = configuration.teams().get(i);
            String path = "$.teams[" + i + "]";
            known(path + ".models", team.models(), models, "a model of this configuration");
            known(path + ".services", team.services(), services, "a service of this configuration");
            for (int k = 0; k < team.keySha256().size(); k++) {
                String owner = keyOwners.putIfAbsent(team.keySha256().get(k), path + ".keySha256[" + k + "]");
                if (owner != null) {
                    add(path + ".keySha256[" + k + "]", "the key is already at " + owner + "; use another key");
                }
            }
        }
    }

    private void models() {
        for (int i = 0; i < configuration.models().size(); i++) {
            Model model = configuration.models().get(i);
            String path = "$.models[" + i + "]";
            unique(path + ".versions[%d].weightVersion", model.versions(), ModelVersion::weightVersion);
            List<String> versions =
                    model.versions().stream().map(ModelVersion::weightVersion).toList();
            if (!versions.contains(model.activeVersion())) {
                add(path + ".activeVersion", "'" + model.activeVersion() + "' is unknown; expected one of " + versions);
            }
            for (int v = 0; v < model.versions().size(); v++) {
                ModelVersion version = model.versions().get(v);
                String versionPath = path + ".versions[" + v + "]";
                unique(versionPath + ".adapters[%d]", version.adapters(), Function.identity());
                upstreams(versionPath + ".upstreams", version.upstreams(), UpstreamKind.ENGINE);
            }
        }
    }

    private void services() {
        for (int i = 0; i < configuration.services().size(); i++) {
            Service service = configuration.services().get(i);
            String path = "$.services[" + i + "]";
            unique(path + ".repeatableMethods[%d]", service.repeatableMethods(), Function.identity());
            upstreams(path + ".upstreams", service.upstreams(), UpstreamKind.SERVICE);
        }
    }

    private void upstreams(String path, List<UpstreamId> ids, UpstreamKind kind) {
        unique(path + "[%d]", ids, UpstreamId::value);
        for (int i = 0; i < ids.size(); i++) {
            UpstreamKind found = kinds.get(ids.get(i));
            if (found == null) {
                add(
                        path + "[" + i + "]",
                        "'" + ids.get(i) + "' is unknown; expected an upstream of this configuration");
            } else if (found != kind) {
                add(path + "[" + i + "]", "'" + ids.get(i) + "' is of kind " + found + "; expected kind " + kind);
            }
        }
    }

    private void known(String path, List<String> names, Set<String> all, String expected) {
        unique(path + "[%d]", names, Function.identity());
        for (int i = 0; i < names.size(); i++) {
            if (!all.contains(names.get(i))) {
                add(path + "[" + i + "]", "'" + names.get(i) + "' is unknown; expected " + expected);
            }
        }
    }

    private <T> void unique(String pathFormat, List<T> items, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < items.size(); i++) {
            String text = name.apply(items.get(i));
            if (!seen.add(text)) {
                add(String.format(pathFormat, i), "'" + text + "' is given twice; expected a unique value");
            }
        }
    }

    private void add(String path, String expected) {
        problems.add(new Problem(path, expected));
    }
}
