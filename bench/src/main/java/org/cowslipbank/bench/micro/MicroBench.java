package org.cowslipbank.bench.micro;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.cowslipbank.bench.Bench;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.BenchReport;
import org.cowslipbank.bench.Figure;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/**
 * Runs the JMH benchmarks in this process: the command line is one shaded jar, and a forked JVM would need its class path.
 * The results are therefore less isolated than those of forked runs.
 */
public final class MicroBench implements Bench {
    private static final double MAX_ROUTE_MICROS = 20;
    // The rounding error of the allocation per operation is well below this factor.
    private static final double MAX_ALLOCATION_GROWTH = 1.02;
    private static final String ALLOCATION_METRIC = "gc.alloc.rate.norm";
    private static final int WARM_UP_ITERATIONS = 4;
    private static final int ITERATIONS = 4;
    private static final TimeValue ITERATION_TIME = TimeValue.milliseconds(500);

    @Override
    public String name() {
        return "micro";
    }

    @Override
    public BenchReport run(BenchOptions options) throws Exception {
        Options jmh = new OptionsBuilder()
                .include(MicroBench.class.getPackageName() + "\\..*")
                .mode(Mode.AverageTime)
                .timeUnit(TimeUnit.MICROSECONDS)
                .forks(0)
                .warmupIterations(WARM_UP_ITERATIONS)
                .warmupTime(ITERATION_TIME)
                .measurementIterations(ITERATIONS)
                .measurementTime(ITERATION_TIME)
                .addProfiler(GCProfiler.class)
                .verbosity(VerboseMode.SILENT)
                .shouldFailOnError(true)
                .build();
        return new BenchReport(name(), options.seed(), toFigures(new Runner(jmh).run()));
    }

    private static List<Figure> toFigures(Collection<RunResult> results) {
        List<Figure> figures = new ArrayList<>();
        double smallFleetBytes = Double.NaN;
        double largeFleetBytes = Double.NaN;
        for (RunResult result : results) {
            String upstreams = result.getParams().getParam("upstreams");
            String benchmark = result.getPrimaryResult().getLabel();
            String name = upstreams == null ? benchmark : benchmark + "_of_" + upstreams;
            double micros = result.getPrimaryResult().getScore();
            Result<?> allocation = result.getSecondaryResults().get(ALLOCATION_METRIC);
            double bytes = allocation == null ? Double.NaN : allocation.getScore();
            boolean route = benchmark.equals("route");
            smallFleetBytes = route && upstreams.equals("20") ? bytes : smallFleetBytes;
            largeFleetBytes = route && upstreams.equals("600") ? bytes : largeFleetBytes;
            String figure = toSnakeCase(name);
            figures.add(
                    route
                            ? Figure.atMost(figure + "_micros", micros, MAX_ROUTE_MICROS)
                            : Figure.unbounded(figure + "_micros", micros));
            figures.add(Figure.unbounded(figure + "_bytes", bytes));
        }
        figures.add(Figure.atMost(
                "route_bytes_600_to_20_upstreams", largeFleetBytes / smallFleetBytes, MAX_ALLOCATION_GROWTH));
        return figures;
    }

    private static String toSnakeCase(String name) {
        return name.replaceAll("([A-Z])", "_$1").toLowerCase(Locale.ROOT);
    }
}
