package org.cowslipbank.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import org.cowslipbank.platform.StandInStream.Event;
import org.cowslipbank.soak.StreamOrderChecker.Attempt;
import org.cowslipbank.soak.StreamOrderChecker.End;
import org.cowslipbank.soak.StreamOrderChecker.Run;

/** Failure guarded against: a check of streams misses a violation. Each check is broken once on purpose. */
final class StreamOrderCheckerTest {
    private static final int EVENTS = 6;

    private final List<String> violations = new ArrayList<>();
    private final StreamOrderChecker order = new StreamOrderChecker(violations::add);

    private List<Event> events(String version, String run, int from, int to) {
        return IntStream.rangeClosed(from, to)
                .mapToObj(number -> new Event(number, version, run))
                .toList();
    }

    private static Attempt attempt(String id, int lastEvent, End end, List<Event> events) {
        return new Attempt(id, "n0", 1_000, 2_000, lastEvent, end, "200", events, "", true);
    }

    /** Starts the run of an engine, whose name begins with that of the request. */
    private void run(String id, String version, int afterEvent) {
        order.onRun(id + "-run", new Run(id, "i-1", version, afterEvent));
    }

    private void finish(Attempt... attempts) {
        order.onStream("s1", EVENTS, List.of(attempts));
    }

    private void assertOneViolation(String text) {
        assert violations.size() == 1 && violations.get(0).contains(text) : violations;
    }

    private Attempt begun() {
        run("r1", "v1", 0);
        return attempt("r1", 0, End.BROKEN, events("v1", "r1-run", 1, 3));
    }

    @Example
    void streamThatIsTakenUpIsAccepted() {
        Attempt first = begun();
        Attempt refused = attempt("r2", 3, End.REJECTED, List.of());
        run("r3", "v1", 3);
        finish(first, refused, attempt("r3", 3, End.WHOLE, events("v1", "r3-run", 4, EVENTS)));
        assert violations.isEmpty() : violations;
        assert order.figures().equals(new SoakRun.StreamFigures(1, 1, 0, 1, 1, 1, 1)) : order.figures();
    }

    @Example
    void eventThatIsMissingIsFound() {
        run("r1", "v1", 0);
        List<Event> events = new ArrayList<>(events("v1", "r1-run", 1, EVENTS));
        events.remove(2);
        finish(attempt("r1", 0, End.WHOLE, events));
        assertOneViolation("event 3 is missing before 4");
    }

    @Example
    void eventThatCameAgainIsFound() {
        run("r1", "v1", 0);
        List<Event> events = new ArrayList<>(events("v1", "r1-run", 1, EVENTS));
        events.add(2, events.get(1));
        finish(attempt("r1", 0, End.WHOLE, events));
        assertOneViolation("event 2 came again");
    }

    @Example
    void endBeforeTheLastEventIsFound() {
        run("r1", "v1", 0);
        finish(attempt("r1", 0, End.WHOLE, events("v1", "r1-run", 1, 4)));
        assertOneViolation("ended as complete behind event 4 of 6");
    }

    @Example
    void endWithinAnEventIsFound() {
        run("r1", "v1", 0);
        List<Event> events = events("v1", "r1-run", 1, EVENTS);
        finish(new Attempt("r1", "n0", 1_000, 2_000, 0, End.WHOLE, "200", events, "id: 7", true));
        assertOneViolation("ended as complete within an event");
    }

    @Example
    void otherSoftwareVersionIsFound() {
        Attempt first = begun();
        run("r2", "v2", 3);
        finish(first, attempt("r2", 3, End.WHOLE, events("v2", "r2-run", 4, EVENTS)));
        assertOneViolation("events of software versions [v1, v2]");
        assert violations.get(0).contains("1-3 of r1-run") && violations.get(0).contains("4-6 of r2-run") : violations;
    }

    /** A client may get events of another version in between, and each of its requests alone looks sound. */
    @Example
    void streamThatReturnsToItsSoftwareVersionIsFound() {
        Attempt first = begun();
        Attempt empty = attempt("r2", 3, End.BROKEN, List.of());
        run("r3", "v2", 3);
        run("r4", "v1", 4);
        finish(
                first,
                empty,
                attempt("r3", 3, End.BROKEN, events("v2", "r3-run", 4, 4)),
                attempt("r4", 4, End.WHOLE, events("v1", "r4-run", 5, EVENTS)));
        assertOneViolation("events of software versions [v1, v2]");
        String story = violations.get(0);
        assert story.contains("1000 to 2000 r3 at n0, last event 3")
                        && story.contains(
                                "4-4 of r3-run Run[requestId=r3, engine=i-1, softwareVersion=v2, afterEvent=3]")
                : story;
        assert order.figures().joined() == 1 : order.figures();
    }

    @Example
    void runThatGoesOnElsewhereIsFound() {
        Attempt first = begun();
        run("r2", "v1", 2);
        finish(first, attempt("r2", 3, End.WHOLE, events("v1", "r2-run", 4, EVENTS)));
        assertOneViolation("goes on behind event 2, the client had 3");
    }

    @Example
    void runOfAnotherRequestIsFound() {
        Attempt first = begun();
        run("other", "v1", 3);
        finish(first, attempt("r2", 3, End.WHOLE, events("v1", "other-run", 4, EVENTS)));
        assertOneViolation("of another request");
    }

    @Example
    void takeUpsThatAreRefusedAreFound() {
        for (int index = 0; index < 12; index++) {
            finish(begun(), attempt("r2", 3, End.REJECTED, List.of()));
        }
        assert violations.isEmpty() : violations;
        order.checkTakeUps();
        assertOneViolation("of 12 streams that were taken up 0 went on, of 12 new ones 12 began");
        assert violations.get(0).contains("r2 at n0, last event 3, REJECTED 200, events none") : violations;
    }
}
