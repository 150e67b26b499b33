package org.cowslipbank.config;

import java.util.List;

import net.jqwik.api.Example;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;

final class ConfigurationsTest {
    private static Configurations.Builder builder() {
        return Configurations.builder()
                .engine("engine-1", "a", "10.0.0.1:80", true)
                .model("reviewer", "v1", List.of("engine-1"))
                .team("joinery", "mu-west", team -> team.key(Configurations.keySha256("k"))
                        .models("reviewer"));
    }

    /** Guards against a builder whose output the parser rejects, or that prints bearer keys instead of their digests. */
    @Example
    void builtConfigurationParses() throws ConfigurationException {
        String text = builder().print();
        Expect.equal(builder().build(), ConfigurationParser.parse("f", text));
        Expect.isTrue(text.contains(Configurations.keySha256("k")), text);
    }

    /** Guards against a difference that misses a change or depends on the order of entries. */
    @Example
    void differenceNamesAddedRemovedAndChangedEntries() throws ConfigurationException {
        Configuration before = builder().build();
        Configuration after = ConfigurationEdit.setUpstreamState(new UpstreamId("engine-1"), UpstreamState.LEAVING)
                .apply(builder().store("s1", "a", "10.0.0.2:80", 1_000).build());
        Configuration last = ConfigurationEdit.removeTeam(new TeamId("joinery")).apply(after);
        Expect.equal(
                List.of("+ stores.s1", "- teams.joinery", "upstreams.engine-1.state: \"active\" -> \"leaving\""),
                ConfigurationDifference.between(before, last));
        Expect.equal(List.of(), ConfigurationDifference.between(before, ConfigurationPrinter.toCanonicalOrder(before)));
    }
}
