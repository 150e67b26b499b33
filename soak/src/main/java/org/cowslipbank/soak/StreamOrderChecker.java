package org.cowslipbank.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.cowslipbank.platform.StandInStream.Event;

/**
 * Checks streams over all requests for each of them, from what clients and engines saw: each event came once, in order, to the
 * last one if an answer was complete; all came from engines of one software version; each run goes on behind the last
 * event that the client had. Also measures how many of the streams that were taken up went on. Thread-safe.
 */
final class StreamOrderChecker {
    /** Streams that clients took up from which on the share that went on is checked, and its bound, from the platform's rules. */
    private static final int MIN_TAKEN_UP = 12;

    private static final double LEAST_SHARE = 0.5;

    /** Part of the violation that too few streams went on. */
    static final String TAKEN_UP = " streams that were taken up ";

    private final Consumer<String> violations;
    private final Map<String, Run> runs = new HashMap<>();
    /** Streams that were taken up and did not go on. */
    private final List<String> refused = new ArrayList<>();

    private int streams;
    private int whole;
    private int joined;
    private int begins;
    private int begun;
    private int takenUp;
    private int wentOn;

    /** How a request for a stream ended. */
    enum End {
        /** Its answer was complete. */
        WHOLE,
        /** Its answer broke off, or there was none. */
        BROKEN,
        /** It was rejected as not run. */
        REJECTED,
        /** It was answered with another status. */
        FAILED
    }

    /**
     * A run as its engine saw it.
     *
     * @param requestId the request
     * @param engine the engine's identifier
     * @param softwareVersion its software version
     * @param afterEvent number of the event behind which the run goes on, zero for a new stream
     */
    record Run(String requestId, String engine, String softwareVersion, int afterEvent) {}

    /**
     * A client's request for a stream.
     *
     * @param requestId its identifier
     * @param node name of the node that it was sent to
     * @param sentAtMillis when it was sent, in Unix milliseconds
     * @param endedAtMillis when its answer ended, in Unix milliseconds
     * @param lastEvent number of the last event that the client had when it was sent
     * @param end how it ended
     * @param detail status, or how its answer broke off
     * @param events the events in its answer
     * @param rest what followed the last event in its answer
     * @param counted true if the node was in touch, and two engines served, of the stream's software version if it has begun
     */
    record Attempt(
            String requestId,
            String node,
            long sentAtMillis,
            long endedAtMillis,
            int lastEvent,
            End end,
            String detail,
            List<Event> events,
            String rest,
            boolean counted) {}

    StreamOrderChecker(Consumer<String> violations) {
        this.violations = violations;
    }

    synchronized void onRun(String runId, Run run) {
        runs.put(runId, run);
    }

    /**
     * Checks a stream.
     *
     * @param name its name
     * @param lastEvent number of its last event
     * @param attempts the requests for it, in their order
     */
    synchronized void onStream(String name, int lastEvent, List<Attempt> attempts) {
        Set<String> problems = new LinkedHashSet<>();
        Set<String> versions = new LinkedHashSet<>();
        Event previous = null;
        boolean complete = false;
        for (Attempt attempt : attempts) {
            for (Event event : attempt.events()) {
                checkEvent(event, previous, attempt, problems);
                versions.add(event.softwareVersion());
                previous = event;
            }
            complete |= attempt.end() == End.WHOLE;
            if (attempt.end() == End.WHOLE && !attempt.rest().isEmpty()) {
                problems.add(attempt.requestId() + " ended as complete within an event");
            }
        }
        int received = previous == null ? 0 : previous.number();
        if (complete && received != lastEvent) {
            problems.add("ended as complete behind event " + received + " of " + lastEvent);
        }
        if (versions.size() > 1) {
            problems.add("events of software versions " + versions);
            joined++;
        }
        count(name, attempts, complete);
        if (!problems.isEmpty()) {
            violations.accept("stream " + name + ": " + String.join("; ", problems) + describe(attempts));
        }
    }

    private void checkEvent(Event event, Event previous, Attempt attempt, Set<String> problems) {
        int last = previous == null ? 0 : previous.number();
        if (event.number() > last + 1) {
            problems.add("event " + (last + 1) + " is missing before " + event.number());
        } else if (event.number() <= last) {
            problems.add("event " + event.number() + " came again");
        }
        if (previous != null && previous.run().equals(event.run())) {
            return;
        }
        Run run = runs.get(event.run());
        if (run == null || !run.requestId().equals(attempt.requestId())) {
            problems.add("event " + event.number() + " is of run " + event.run() + " of another request, " + run);
        } else if (run.afterEvent() != last) {
            problems.add(
                    "run " + event.run() + " goes on behind event " + run.afterEvent() + ", the client had " + last);
        }
    }

    private void count(String name, List<Attempt> attempts, boolean complete) {
        streams++;
        whole += complete ? 1 : 0;
        List<Attempt> first =
                attempts.stream().filter(attempt -> attempt.lastEvent() == 0).toList();
        boolean brought = first.stream().anyMatch(attempt -> !attempt.events().isEmpty());
        if (first.stream().anyMatch(Attempt::counted)) {
            begins++;
            begun += brought ? 1 : 0;
        }
        List<Attempt> further =
                attempts.stream().filter(attempt -> attempt.lastEvent() > 0).toList();
        if (further.stream().anyMatch(Attempt::counted)) {
            takenUp++;
            if (further.stream().anyMatch(attempt -> !attempt.events().isEmpty() || attempt.end() == End.WHOLE)) {
                wentOn++;
            } else {
                refused.add("\n  stream " + name + describe(attempts));
            }
        }
    }

    private String describe(List<Attempt> attempts) {
        return attempts.stream()
                .map(attempt -> "\n  " + attempt.sentAtMillis() + " to " + attempt.endedAtMillis() + " "
                        + attempt.requestId() + " at " + attempt.node() + ", last event " + attempt.lastEvent() + ", "
                        + attempt.end() + " " + attempt.detail() + ", events " + ranges(attempt.events()))
                .collect(Collectors.joining());
    }

    /** Writes the runs of events, each with its engine and software version. */
    private String ranges(List<Event> events) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < events.size(); index++) {
            Event event = events.get(index);
            boolean first = index == 0 || !events.get(index - 1).run().equals(event.run());
            boolean last =
                    index == events.size() - 1 || !events.get(index + 1).run().equals(event.run());
            text.append(first ? event.number() + "-" : "");
            text.append(last ? event.number() + " of " + event.run() + " " + runs.get(event.run()) + " " : "");
        }
        return text.isEmpty() ? "none" : text.toString().trim();
    }

    /** Checks the share of the streams taken up that went on, once the run is over. */
    synchronized void checkTakeUps() {
        double newShare = (double) begun / Math.max(1, begins);
        double share = (double) wentOn / Math.max(1, takenUp);
        if (takenUp >= MIN_TAKEN_UP && share < LEAST_SHARE * newShare) {
            violations.accept("of " + takenUp + TAKEN_UP + wentOn + " went on, of " + begins + " new ones " + begun
                    + " began; the others:" + String.join("", refused));
        }
    }

    synchronized SoakRun.StreamFigures figures() {
        return new SoakRun.StreamFigures(streams, whole, joined, begins, begun, takenUp, wentOn);
    }
}
