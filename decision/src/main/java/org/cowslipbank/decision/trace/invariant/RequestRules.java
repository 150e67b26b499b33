package org.cowslipbank.decision.trace.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cowslipbank.decision.trace.invariant.Invariant.Breach;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.RunState;

/** Invariants on requests, their answers and their runs. */
final class RequestRules {
    private RequestRules() {}

    /** Promise P6: a request with an idempotency key runs at most once, and only under a claim recorded before. */
    static List<Breach> runAtMostOnce(List<TimedEvent> events) {
        List<Breach> breaches = new ArrayList<>();
        Set<String> claims = new HashSet<>();
        Map<String, RequestId> runs = new HashMap<>();
        for (TimedEvent timed : events) {
            if (timed.event() instanceof TraceEvent.Claimed claim) {
                claims.add(claim.team() + "/" + claim.key() + "/" + claim.token());
            } else if (timed.event() instanceof TraceEvent.ServiceRan run) {
                String key = run.team() + "/" + run.key();
                RequestId earlier = runs.putIfAbsent(key, run.request());
                if (earlier != null) {
                    breaches.add(new Breach(timed, key + " ran for " + run.request() + " and before for " + earlier));
                }
                if (!claims.contains(key + "/" + run.token())) {
                    breaches.add(new Breach(timed, key + " ran without a recorded claim"));
                }
            }
        }
        return breaches;
    }

    /** Promise P4: a request ends exactly once, and an answer is complete and generated for that request. */
    static List<Breach> answeredOnce(List<TimedEvent> events) {
        List<Breach> breaches = new ArrayList<>();
        Map<RequestId, TimedEvent> open = new LinkedHashMap<>();
        for (TimedEvent timed : events) {
            if (timed.event() instanceof TraceEvent.RequestStarted started) {
                open.put(started.request(), timed);
            } else if (timed.event() instanceof TraceEvent.Answered answer) {
                closeRequest(open, answer.request(), timed, breaches);
                checkAnswer(answer, timed, breaches);
            } else if (timed.event() instanceof TraceEvent.Refused refusal) {
                closeRequest(open, refusal.request(), timed, breaches);
            } else if (timed.event() instanceof TraceEvent.CallerDisconnected gone) {
                open.remove(gone.request());
            } else if (timed.event() instanceof TraceEvent.AllRequestsEnded) {
                open.forEach((request, start) -> breaches.add(new Breach(start, request + " was never answered")));
            }
        }
        return breaches;
    }

    private static void closeRequest(
            Map<RequestId, TimedEvent> open, RequestId request, TimedEvent timed, List<Breach> breaches) {
        if (open.remove(request) == null) {
            breaches.add(new Breach(timed, request + " was answered twice, or never started"));
        }
    }

    private static void checkAnswer(TraceEvent.Answered answer, TimedEvent timed, List<Breach> breaches) {
        if (!answer.answerOf().equals(answer.request())) {
            breaches.add(new Breach(timed, answer.request() + " received the answer of " + answer.answerOf()));
        }
        if (!answer.complete()) {
            breaches.add(new Breach(timed, answer.request() + " received an incomplete answer"));
        }
    }

    /** Promise P5: a request refused as not run has no run anywhere in the trace. */
    static List<Breach> notRunIsTrue(List<TimedEvent> events) {
        Set<RequestId> ran = new HashSet<>();
        for (TimedEvent timed : events) {
            if (timed.event() instanceof TraceEvent.AttemptRan run) {
                ran.add(run.request());
            } else if (timed.event() instanceof TraceEvent.ServiceRan run) {
                ran.add(run.request());
            }
        }
        List<Breach> breaches = new ArrayList<>();
        for (TimedEvent timed : events) {
            if (timed.event() instanceof TraceEvent.Refused refusal
                    && refusal.run() == RunState.NOT_RUN
                    && ran.contains(refusal.request())) {
                breaches.add(new Breach(timed, refusal.request() + " was refused as not run but ran"));
            }
        }
        return breaches;
    }
}
