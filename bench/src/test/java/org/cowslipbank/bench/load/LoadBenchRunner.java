package org.cowslipbank.bench.load;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.Map;
import java.util.TreeMap;

import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.Figure;

/** Runs the load experiment at a given rate. Arguments: seed, streams per second. */
final class LoadBenchRunner {
    private LoadBenchRunner() {}

    public static void main(String[] args) throws Exception {
        long seed = Long.parseLong(args[0]);
        Thread cpu = new Thread(LoadBenchRunner::sampleCpu, "cpu-sampler");
        cpu.setDaemon(true);
        cpu.start();
        LoadBench bench = new LoadBench(Double.parseDouble(args[1]));
        for (Figure figure :
                bench.run(new BenchOptions(seed, System.err::println)).figures()) {
            System.out.println((figure.meetsBound() ? "" : "MISSED ") + figure.name() + " " + figure.value());
        }
    }

    // Prints the CPU time of each group of threads; JIT compilation and garbage collection are not included.
    private static void sampleCpu() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        while (true) {
            Map<String, Long> millis = new TreeMap<>();
            for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
                if (info != null) {
                    long nanos = threads.getThreadCpuTime(info.getThreadId());
                    millis.merge(info.getThreadName().replaceAll("\\d+", "N"), nanos / 1_000_000, Long::sum);
                }
            }
            millis.values().removeIf(value -> value < 200);
            System.err.println("cpu millis " + millis);
            try {
                Thread.sleep(5_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
