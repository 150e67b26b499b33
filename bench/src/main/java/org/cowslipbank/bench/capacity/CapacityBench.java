package org.cowslipbank.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

import org.cowslipbank.bench.Bench;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.BenchReport;
import org.cowslipbank.bench.Figure;
import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.decision.streams.StreamEvent;
import org.cowslipbank.decision.streams.StreamLimits;
import org.cowslipbank.decision.streams.StreamMachine;
import org.cowslipbank.decision.streams.StreamSpec;
import org.cowslipbank.decision.streams.StreamState;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.PromptChain;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;
import org.openjdk.jol.info.GraphLayout;

/** Measures the heap that a node retains for teams, upstreams, remembered prompts and streams. */
public final class CapacityBench implements Bench {
    private static final int TARGET_TEAMS = 7_300;
    private static final int TARGET_UPSTREAMS = 600;
    private static final int TARGET_NODES = 340;
    private static final int TARGET_SESSIONS = 400_000;
    private static final int BLOCKS_OF_LONG_PROMPT = 32;
    private static final int TOKENS_OF_ANSWER = 270;
    private static final int PIECE_BYTES = 4_000;
    private static final double CONTROL_BYTES_BOUND = 32e6;
    private static final ModelRef MODEL = new ModelRef("review", "v1", "");

    @Override
    public String name() {
        return "capacity";
    }

    @Override
    public BenchReport run(BenchOptions options) {
        // Without this the library cannot read the field offsets of records.
        System.setProperty("jol.magicFieldOffset", "true");
        List<Figure> figures = new ArrayList<>();
        Slope teams = measure(options, "teams", List.of(730, 3_650, 7_300), count -> index(count, 60));
        Slope upstreams = measure(options, "upstreams", List.of(60, 300, 600), count -> index(10, count));
        Slope chains = measure(options, "blocks", List.of(4, 16, 64), CapacityBench::chain);
        Slope streams = measure(options, "tokens", List.of(30, 120, 480), CapacityBench::stream);
        figures.add(Figure.info("configuration_bytes_per_team", teams.perItem()));
        figures.add(Figure.info("configuration_bytes_per_upstream", upstreams.perItem()));
        double configurationBytes = teams.at(TARGET_TEAMS) + upstreams.perItem() * TARGET_UPSTREAMS;
        figures.add(Figure.atMost("configuration_bytes_at_target", configurationBytes, CONTROL_BYTES_BOUND));
        figures.add(Figure.info("remembered_prompt_bytes_per_block", chains.perItem()));
        double sessionBytes = chains.at(BLOCKS_OF_LONG_PROMPT);
        figures.add(Figure.info("remembered_prompt_bytes_of_32_blocks", sessionBytes));
        figures.add(Figure.info(
                "remembered_prompts_bytes_per_node_at_target", sessionBytes * TARGET_SESSIONS / TARGET_NODES));
        figures.add(Figure.info("stream_bytes_per_token", streams.perItem()));
        figures.add(Figure.info("stream_bytes_of_270_tokens", streams.at(TOKENS_OF_ANSWER)));
        return new BenchReport(name(), options.seed(), figures);
    }

    private static Slope measure(BenchOptions options, String unit, List<Integer> sizes, IntFunction<Object> make) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            long bytes = GraphLayout.parseInstance(make.apply(size)).totalSize();
            options.progress().accept("capacity: " + size + " " + unit + " retain " + bytes + " bytes");
            points.add(new Slope.Point(size, bytes));
        }
        return Slope.of(points);
    }

    private static ConfigurationIndex index(int teams, int upstreams) {
        Configurations.Builder builder = Configurations.builder();
        List<String> engines = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            engines.add("engine-" + i);
            builder.engine("engine-" + i, "dc-" + i % 7, "10.0." + i / 250 + "." + i % 250 + ":8000", true);
        }
        builder.model("review", "v1", engines);
        for (int i = 0; i < teams; i++) {
            String id = "team-" + i;
            builder.team(id, "mu-west", team -> team.key(Configurations.keySha256(id))
                    .limits(10, 20, 30, 1)
                    .models("review"));
        }
        Configuration configuration = builder.weights(1, 0.2, 0.1).build();
        return new ConfigurationIndex(configuration);
    }

    private static List<BlockIdentity> chain(int blocks) {
        byte[] prompt = "x".repeat(blocks * PIECE_BYTES).getBytes(StandardCharsets.UTF_8);
        return PromptChain.identities(new byte[32], new TeamId("team-1"), MODEL, prompt, PIECE_BYTES);
    }

    private static Object stream(int tokens) {
        StreamSpec spec = new StreamSpec(new RequestId("req-1"), MODEL, true, tokens + 1, 0, StreamLimits.DEFAULTS);
        StreamState state = StreamMachine.open(spec, 0).state();
        state = StreamMachine.on(
                        state, new StreamEvent.Sent(state.attempt().id(), new UpstreamId("engine-1"), MODEL), 1)
                .state();
        state = StreamMachine.on(state, new StreamEvent.Started(state.attempt().id(), 0, MODEL), 2)
                .state();
        List<String> emitted = new ArrayList<>();
        for (int i = 0; i < tokens; i++) {
            String text = " token" + i;
            state = StreamMachine.on(
                            state, new StreamEvent.Token(state.attempt().id(), 0, i, text), 3 + i)
                    .state();
            emitted.add(text);
        }
        return List.of(state, emitted);
    }
}
