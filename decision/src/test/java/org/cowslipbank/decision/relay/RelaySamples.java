package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.ClientLimits;
import org.cowslipbank.model.relay.RelayConfiguration;
import org.cowslipbank.model.relay.RelayTeam;
import org.cowslipbank.model.relay.RepeatRule;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.model.relay.ServiceShare;
import org.cowslipbank.model.relay.UpstreamServer;

/** Sample configuration records for tests. */
final class RelaySamples {
    static final String MODEL = "m";

    private RelaySamples() {}

    static List<UpstreamServer> engines(int count, long version) {
        List<UpstreamServer> engines = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            engines.add(engine(index, version));
        }
        return engines;
    }

    static UpstreamServer engine(int index, long version) {
        String address = "10.0.0." + (index + 1) + ":80";
        return new UpstreamServer("i-" + index, "llm", address, "a", 64, false, "v1", 1, Map.of(MODEL, version));
    }

    static Route route(String host, String prefix, List<ServiceShare> services) {
        return new Route("r", host, prefix, RepeatRule.STREAM, 12_000, 800, 1, services, 2, false, true);
    }

    static RelayConfiguration configuration(List<Route> routes, List<RelayTeam> teams) {
        return new RelayConfiguration(
                1, routes, List.of(), List.of(), true, teams, new ClientLimits(16_384, 1 << 20, 5_000, 30_000));
    }

    static List<CacheStore> stores() {
        return List.of(store("s1", 100_000), store("s2", 100_000), store("s3", 600_000));
    }

    private static CacheStore store(String name, long tokens) {
        return new CacheStore(name, name + ":80", "a", tokens, 12, true);
    }
}
