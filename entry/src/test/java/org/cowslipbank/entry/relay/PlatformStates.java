package org.cowslipbank.entry.relay;

import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.decision.suspects.RefusalProbes;
import org.cowslipbank.entry.traffic.MonotonicClock;
import org.cowslipbank.platform.MetadataItemDecoder;
import org.cowslipbank.ports.relay.PlatformDecoder;

/** Creates states of the platform without any item, and a configuration for them. */
final class PlatformStates {
    /** Keys of the nodes' items. */
    static final NodeItems ITEMS = new NodeItems("cowslipbank/");

    private static final String CONFIGURATION =
            """
            {"Version":%d,"Routes":[],"Services":[
              {"Name":"kept","KvStoreAddr":"10.0.0.1:80","KvCapacity":100,"MaxInFlight":12,"Managed":true}],
             "Tenants":[{"Name":"t","ApiKeys":["k"],"Isolated":%b}]}
            """;
    private static final long KNOWLEDGE_VALID_MILLIS = 5_000;

    private PlatformStates() {}

    static PlatformState create(PlatformDecoder decoder, StreamOrigins origins, DecisionLog log) {
        return new PlatformState(
                decoder, ITEMS, origins, new RefusalProbes(), log, KNOWLEDGE_VALID_MILLIS, System::currentTimeMillis);
    }

    static PlatformState create(StreamOrigins origins, DecisionLog log) {
        return create(new MetadataItemDecoder(), origins, log);
    }

    static PlatformState create(DecisionLog log) {
        return create(new StreamOrigins("n1"), log);
    }

    /** Returns a configuration with one team and a service that keeps parts in the cache store at 10.0.0.1:80. */
    static String configuration(long version, boolean isolatedTeam) {
        return CONFIGURATION.formatted(version, isolatedTeam);
    }

    /** Returns a log that writes one line a second at most. */
    static DecisionLog log() {
        return new DecisionLog(MonotonicClock.SYSTEM, 1);
    }
}
