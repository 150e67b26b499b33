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

/** Measures the heap that a node retains per team, upstream, block of a remembered prompt and token of a stream. */
public final class CapacityBench implements Bench {
    private static final int TARGET_TEAMS = 7_300;
    private static final int TARGET_UPSTREAMS = 600;
    private static final int TARGET_NODES = 340;
    private static final int TARGET_SESSIONS = 400_000;
    private static final int LONG_PROMPT_BLOCKS = 32;
    private static final int ANSWER_TOKENS = 270;
    private static final int BLOCK_PROMPT_BYTES = 4_000;
    private static final double MAX_CONFIGURATION_BYTES = 32e6;
    private static final ModelRef MODEL = new ModelRef("review", "v1", "");

    @Override
    public String name() {
        return "capacity";
    }

    @Override
    public BenchReport run(BenchOptions options) {
        // Lets JOL read the field offsets of records.
        System.setProperty("jol.magicFieldOffset", "true");
        List<Figure> figures = new ArrayList<>();
        LinearFit teams = measure(options, "teams", List.of(730, 3_650, 7_300), count -> configurationIndex(count, 60));
        LinearFit upstreams =
                measure(options, "upstreams", List.of(60, 300, 600), count -> configurationIndex(10, count));
        LinearFit blocks = measure(options, "blocks", List.of(4, 16, 64), CapacityBench::promptBlocks);
        LinearFit tokens = measure(options, "tokens", List.of(30, 120, 480), CapacityBench::streamState);
        figures.add(Figure.unbounded("configuration_bytes_per_team", teams.perItem()));
        figures.add(Figure.unbounded("configuration_bytes_per_upstream", upstreams.perItem()));
        double configurationBytes = teams.valueAt(TARGET_TEAMS) + upstreams.perItem() * TARGET_UPSTREAMS;
        figures.add(Figure.atMost("configuration_bytes_at_target", configurationBytes, MAX_CONFIGURATION_BYTES));
        figures.add(Figure.unbounded("remembered_prompt_bytes_per_block", blocks.perItem()));
        double longPromptBytes = blocks.valueAt(LONG_PROMPT_BLOCKS);
        figures.add(Figure.unbounded("remembered_prompt_bytes_of_32_blocks", longPromptBytes));
        figures.add(Figure.unbounded(
                "remembered_prompts_bytes_per_node_at_target", longPromptBytes * TARGET_SESSIONS / TARGET_NODES));
        figures.add(Figure.unbounded("stream_bytes_per_token", tokens.perItem()));
        figures.add(Figure.unbounded("stream_bytes_of_270_tokens", tokens.valueAt(ANSWER_TOKENS)));
        return new BenchReport(name(), options.seed(), figures);
    }

    private static LinearFit measure(
            BenchOptions options, String unit, List<Integer> sizes, IntFunction<Object> factory) {
        List<LinearFit.Point> points = new ArrayList<>();
        for (int size : sizes) {
            long bytes = GraphLayout.parseInstance(factory.apply(size)).totalSize();
            options.progress().accept("capacity: " + size + " " + unit + " retain " + bytes + " bytes");
            points.add(new LinearFit.Point(size, bytes));
        }
        return LinearFit.of(points);
    }

    private static ConfigurationIndex configurationIndex(int teams, int upstreams) {
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

    private static List<BlockIdentity> promptBlocks(int blocks) {
        byte[] prompt = "x".repeat(blocks * BLOCK_PROMPT_BYTES).getBytes(StandardCharsets.UTF_8);
        return PromptChain.identities(new byte[32], new TeamId("team-1"), MODEL, prompt, BLOCK_PROMPT_BYTES);
    }

    private static Object streamState(int tokens) {
        StreamSpec spec = new StreamSpec(new RequestId("req-1"), MODEL, true, tokens + 1, 0, StreamLimits.DEFAULTS);
        StreamState state = StreamMachine.open(spec, 0).state();
        state = StreamMachine.apply(
                        state, new StreamEvent.Sent(state.attempt().id(), new UpstreamId("engine-1"), MODEL), 1)
                .state();
        state = StreamMachine.apply(
                        state, new StreamEvent.Started(state.attempt().id(), 0, MODEL), 2)
                .state();
        List<String> emitted = new ArrayList<>();
        for (int i = 0; i < tokens; i++) {
            String text = " token" + i;
            state = StreamMachine.apply(
                            state, new StreamEvent.Token(state.attempt().id(), 0, i, text), 3 + i)
                    .state();
            emitted.add(text);
        }
        return List.of(state, emitted);
    }
}
