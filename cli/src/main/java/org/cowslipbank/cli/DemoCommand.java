package org.cowslipbank.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cowslipbank.bench.demo.DemoResult;
import org.cowslipbank.bench.demo.Deployment;
import org.cowslipbank.bench.demo.DeploymentRun;
import org.cowslipbank.model.CowslipbankException;

/** Command {@code demo}: runs a sample workload on both deployments with injected faults, in one process. */
final class DemoCommand implements Command {
    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "run a sample workload on both deployments with injected faults, in one process";
    }

    @Override
    public ExitCode run(List<String> arguments, Console console) throws CowslipbankException, UsageException {
        OptionParser parser = new OptionParser();
        parser.accepts("json", "Print one JSON object as the last line.");
        Optional<OptionSet> options = new Options(parser).parse(arguments, console);
        if (options.isEmpty()) {
            return ExitCode.DONE;
        }
        List<DemoResult> outcomes = new ArrayList<>();
        for (Deployment deployment : List.of(Deployment.VACOAS, Deployment.CONFETES)) {
            outcomes.add(runDeployment(deployment, console));
        }
        outcomes.forEach(outcome -> printOutcome(outcome, console));
        boolean held = outcomes.stream().allMatch(DemoResult::allGuaranteesHeld);
        console.out().println(held ? "Every promise held." : "A promise was broken.");
        if (options.get().has("json")) {
            console.out().println(toJson(outcomes));
        }
        return held ? ExitCode.DONE : ExitCode.OUTCOME_MISSED;
    }

    private static DemoResult runDeployment(Deployment deployment, Console console)
            throws CowslipbankException, UsageException {
        try {
            return new DeploymentRun(deployment, line -> console.out().println(line)).run();
        } catch (IOException e) {
            throw new UsageException("the demonstration could not be started: " + e.getMessage());
        }
    }

    private static void printOutcome(DemoResult outcome, Console console) {
        console.out()
                .printf(
                        Locale.ROOT,
                        "%s: %d requests, %d answered once, %d lost, %d doubled, %d wrong, %d with unknown outcome%n",
                        outcome.deployment(),
                        outcome.requests(),
                        outcome.answeredOnce(),
                        outcome.lost(),
                        outcome.doubled(),
                        outcome.wrongAnswers(),
                        outcome.outcomeUnknown());
        console.out()
                .printf(
                        Locale.ROOT,
                        "  first token at the 95th percentile: %.0f ms for first prompts, %.0f ms for returning ones;"
                                + " recomputed %.1f%% of returning prompts; %.1f MB over the stores' links;"
                                + " configuration change applied on all live nodes after %.0f ms%n",
                        outcome.ttftFirstP95Ms(),
                        outcome.ttftReturningP95Ms(),
                        100 * outcome.recomputedShare(),
                        outcome.linkBytes() / 1e6,
                        outcome.configAppliedMs());
    }

    private static ObjectNode toJson(List<DemoResult> outcomes) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("requests", outcomes.stream().mapToInt(DemoResult::requests).sum());
        root.put(
                "answeredOnce",
                outcomes.stream().mapToInt(DemoResult::answeredOnce).sum());
        root.put("lost", outcomes.stream().mapToInt(DemoResult::lost).sum());
        root.put("doubled", outcomes.stream().mapToInt(DemoResult::doubled).sum());
        root.put(
                "wrongAnswers",
                outcomes.stream().mapToInt(DemoResult::wrongAnswers).sum());
        root.put(
                "outcomeUnknown",
                outcomes.stream().mapToInt(DemoResult::outcomeUnknown).sum());
        root.put("crossTeam", outcomes.stream().mapToLong(DemoResult::crossTeam).sum());
        root.put("ttftFirstP95Ms", maximum(outcomes, DemoResult::ttftFirstP95Ms));
        root.put("ttftReturningP95Ms", maximum(outcomes, DemoResult::ttftReturningP95Ms));
        root.put("recomputedShare", maximum(outcomes, DemoResult::recomputedShare));
        root.put("linkBytes", outcomes.stream().mapToLong(DemoResult::linkBytes).sum());
        root.put("configAppliedMs", maximum(outcomes, DemoResult::configAppliedMs));
        root.put("held", outcomes.stream().allMatch(DemoResult::allGuaranteesHeld));
        for (DemoResult outcome : outcomes) {
            ObjectNode deploymentNode = root.withObject("/deployments/" + outcome.deployment());
            deploymentNode.put("requests", outcome.requests());
            deploymentNode.put("ttftFirstP95Ms", outcome.ttftFirstP95Ms());
            deploymentNode.put("ttftReturningP95Ms", outcome.ttftReturningP95Ms());
            deploymentNode.put("recomputedShare", outcome.recomputedShare());
            deploymentNode.put("linkBytes", outcome.linkBytes());
            deploymentNode.put("configAppliedMs", outcome.configAppliedMs());
        }
        return root;
    }

    private static double maximum(List<DemoResult> outcomes, ToDoubleFunction<DemoResult> figure) {
        return outcomes.stream().mapToDouble(figure).max().orElse(0);
    }
}
