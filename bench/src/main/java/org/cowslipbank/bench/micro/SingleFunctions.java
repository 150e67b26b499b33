package org.cowslipbank.bench.micro;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ConfigurationParser;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.decision.admission.AdmissionAnswer;
import org.cowslipbank.decision.admission.AdmissionQueue;
import org.cowslipbank.decision.admission.AdmissionRequest;
import org.cowslipbank.decision.admission.TeamShare;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.PromptChain;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.fleet.FleetDigest;
import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.model.fleet.LoadFact;
import org.cowslipbank.peer.MessageCodec;
import org.cowslipbank.peer.PeerMessage;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Benchmarks functions that run once per request, probe or configuration change. */
@State(Scope.Benchmark)
public class SingleFunctions {
    private static final int PROMPT_BYTES = 128_000;
    private static final int TEAMS = 7_300;
    private static final int LOAD_FACTS = 8;
    private static final int KEY_HEX_DIGITS = 64;
    private static final TeamId TEAM = new TeamId("joinery");
    private static final ModelRef MODEL = new ModelRef("review", "v1", "");

    private final byte[] prompt = new byte[PROMPT_BYTES];
    private final byte[] secret = new byte[32];
    private final AdmissionQueue admission = new AdmissionQueue(1_000, 1_000);
    private final TeamShare share = new TeamShare(TEAM, 1e9, 1e9, 1_000, 1);
    private final AdmissionRequest request = new AdmissionRequest(new RequestId("r1"), TEAM, 1, Long.MAX_VALUE / 2);
    private long nowMillis;
    private PeerMessage probe;
    private String configuration;

    /**
     * Prepares a probe message and the text of a configuration.
     *
     * @throws ConfigurationException if the configuration is not valid
     */
    @Setup
    public void prepare() throws ConfigurationException {
        List<LoadFact> loads = new ArrayList<>();
        for (int i = 0; i < LOAD_FACTS; i++) {
            loads.add(new LoadFact(new UpstreamId("engine-" + i), 8, 3, 4, 90_000, 12_000, 32, true, 250));
        }
        GossipPayload facts = new GossipPayload(List.of(), List.of(), List.of(), List.of(), loads);
        probe = new PeerMessage.Probe(5, new FleetDigest(3, 12, 900, Optional.of("a")), facts);
        Configurations.Builder builder = Configurations.builder()
                .engine("engine-1", "mu-west-1", "127.0.0.1:9000", true)
                .model("review", "v1", List.of("engine-1"))
                .weights(1, 0.2, 0.1);
        for (int i = 0; i < TEAMS; i++) {
            String key = String.format("%0" + KEY_HEX_DIGITS + "x", i);
            builder.team("team-" + i, "mu-west", team -> team.key(key)
                    .limits(10, 20, 8, 1)
                    .models("review"));
        }
        configuration = builder.print();
    }

    /**
     * Computes the block identities of a prompt of 32,000 tokens.
     *
     * @return the identities
     */
    @Benchmark
    public List<BlockIdentity> chainHash() {
        return PromptChain.identities(secret, TEAM, MODEL, prompt, PromptChain.DEFAULT_PIECE_BYTES);
    }

    /**
     * Admits a request and reports its end.
     *
     * @return the admission answer
     */
    @Benchmark
    public AdmissionAnswer admission() {
        nowMillis++;
        AdmissionAnswer answer = admission.offer(request, share, nowMillis);
        admission.recordEnd(request, 1, true, nowMillis);
        return answer;
    }

    /**
     * Encodes and decodes a probe message with the loads of eight upstreams.
     *
     * @return the probe
     * @throws IOException if the codec cannot decode its own encoding
     */
    @Benchmark
    public PeerMessage peerCodec() throws IOException {
        return MessageCodec.decode(MessageCodec.encode(probe));
    }

    /**
     * Parses, checks and indexes a configuration of 7,300 teams.
     *
     * @return the index
     * @throws ConfigurationException if the configuration is not valid
     */
    @Benchmark
    public ConfigurationIndex applyConfiguration() throws ConfigurationException {
        Configuration parsed = ConfigurationParser.parse("bench", configuration);
        return new ConfigurationIndex(parsed);
    }
}
