package org.cowslipbank.bench;

/** Runs one experiment and prints its figures. Arguments: name, seed. */
final class RunBench {
    private RunBench() {}

    public static void main(String[] args) throws Exception {
        Bench bench = BenchRegistry.find(args[0]).orElseThrow();
        long startNanos = System.nanoTime();
        BenchReport report = bench.run(new BenchOptions(Long.parseLong(args[1]), line -> {}));
        for (Figure figure : report.figures()) {
            String relation =
                    switch (figure.relation()) {
                        case AT_MOST -> "<= " + figure.bound();
                        case AT_LEAST -> ">= " + figure.bound();
                        case NONE -> "";
                    };
            System.out.printf(
                    "%-50s %10.4f %-10s %s%n",
                    figure.name(), figure.value(), relation, figure.meetsBound() ? "" : "MISSED");
        }
        System.out.printf("held %s, %d ms%n", report.allBoundsMet(), (System.nanoTime() - startNanos) / 1_000_000);
    }
}
