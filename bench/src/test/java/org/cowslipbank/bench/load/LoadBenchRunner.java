package org.cowslipbank.bench.load;

import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.Figure;

/** Runs the experiment at another rate: arguments are the seed and the streams a second. */
final class LoadBenchRunner {
    private LoadBenchRunner() {}

    public static void main(String[] args) throws Exception {
        long seed = Long.parseLong(args[0]);
        LoadBench bench = new LoadBench(Double.parseDouble(args[1]));
        for (Figure figure :
                bench.run(new BenchOptions(seed, System.err::println)).figures()) {
            System.out.println((figure.held() ? "" : "MISSED ") + figure.name() + " " + figure.value());
        }
    }
}
