package org.cowslipbank.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;

import net.jqwik.api.Example;
import org.cowslipbank.soak.SoakRun;

/** A short soak with a fixed seed; the long ones are run by hand, see docs/soak.md. */
final class SoakTest {
    private static final long SEED = 1;
    private static final long SECONDS = 12;
    private static final int NODES = 3;

    /** Failure guarded against: a guarantee is violated while nodes and their connections fail. */
    @Example
    void guaranteesHoldUnderFaults() throws Exception {
        assertHolds(SoakRun.Kind.FAULTS, SoakRun.Outcome::guaranteesHeld);
    }

    /** Failure guarded against: a request is lost or late beside silent upstreams, changes and planned stops. */
    @Example
    void guaranteesHoldInCalm() throws Exception {
        assertHolds(SoakRun.Kind.CALM, SoakRun.Outcome::guaranteesHeld);
    }

    /** Failure guarded against: a node refuses a route that was added, or runs requests by one that was dropped. */
    @Example
    void changesAreInForceInTime() throws Exception {
        assertHolds(SoakRun.Kind.CHANGES, SoakRun.Outcome::guaranteesHeld);
    }

    static void assertHolds(SoakRun.Kind kind, Predicate<SoakRun.Outcome> guarantees) throws Exception {
        Path directory = Files.createTempDirectory("soak-test-");
        List<String> program = List.of("-cp", System.getProperty("java.class.path"), Main.class.getName());
        SoakRun.Plan plan = new SoakRun.Plan(kind, SEED, SECONDS, NODES, List.of(program), directory);
        SoakRun.Outcome outcome = new SoakRun(plan, line -> {}).run();
        assert guarantees.test(outcome) : "logs in " + directory + ": " + outcome.violations();
        assert !outcome.faults().isEmpty() && outcome.served() > 0 : outcome;
    }
}
