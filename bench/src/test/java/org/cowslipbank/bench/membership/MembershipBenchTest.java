package org.cowslipbank.bench.membership;

import java.util.List;

import net.jqwik.api.Example;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.Figure;

class MembershipBenchTest {
    /**
     * Guards against a change of the protocol that misses a bound at the size deployed today: nodes die, drain, pause,
     * lose messages one way, and data centres and regions come apart. Processor time is left to the experiment, because
     * it depends on the machine.
     */
    @Example
    void boundsHoldAtTheSizeOfToday() {
        List<Figure> missed = new MembershipBench("9x3"::equals)
                .run(new BenchOptions(1, line -> {})).figures().stream()
                        .filter(figure -> !figure.held() && !figure.name().contains("cpu_share"))
                        .toList();
        if (!missed.isEmpty()) {
            throw new AssertionError("missed bounds: " + missed);
        }
    }
}
