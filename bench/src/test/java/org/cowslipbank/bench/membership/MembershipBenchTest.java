package org.cowslipbank.bench.membership;

import java.util.List;

import net.jqwik.api.Example;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.Figure;

class MembershipBenchTest {
    /**
     * Guards against a protocol change that misses a bound at today's fleet size while nodes die, drain, pause or lose
     * messages in one direction, and while data centres and regions are partitioned. CPU time depends on the machine, so
     * only the experiment checks it.
     */
    @Example
    void boundsHoldAtTodaysFleetSize() {
        List<Figure> missed = new MembershipBench("9x3"::equals)
                .run(new BenchOptions(1, line -> {})).figures().stream()
                        .filter(figure -> !figure.meetsBound() && !figure.name().contains("cpu_share"))
                        .toList();
        if (!missed.isEmpty()) {
            throw new AssertionError("missed bounds: " + missed);
        }
    }
}
