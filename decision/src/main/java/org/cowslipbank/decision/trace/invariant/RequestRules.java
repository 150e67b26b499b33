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

/** Rules over requests, their answers and their runs. */
final class RequestRules {
    private RequestRules() {}

    /** P6: a claimed key runs once, and only under a claim that was recorded before. */
    static List<Breach> runAtMostOnce(List<TimedFact> facts) {
        List<Breach> breaches = new ArrayList<>();
        Set<String> claims = new HashSet<>();
        Map<String, RequestId> runs = new HashMap<>();
        for (TimedFact timed : facts) {
            if (timed.fact() instanceof Fact.Claimed claim) {
                claims.add(claim.team() + "/" + claim.key() + "/" + claim.token());
            } else if (timed.fact() instanceof Fact.ServiceRan run) {
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

    /** P4: a request ends once, with the complete answer made for it. */
    static List<Breach> answeredOnce(List<TimedFact> facts) {
        List<Breach> breaches = new ArrayList<>();
        Map<RequestId, TimedFact> open = new LinkedHashMap<>();
        for (TimedFact timed : facts) {
            if (timed.fact() instanceof Fact.RequestStarted started) {
                open.put(started.request(), timed);
            } else if (timed.fact() instanceof Fact.Answered answer) {
                end(open, answer.request(), timed, breaches);
                checkAnswer(answer, timed, breaches);
            } else if (timed.fact() instanceof Fact.Refused refusal) {
                end(open, refusal.request(), timed, breaches);
            } else if (timed.fact() instanceof Fact.CallerGone gone) {
                open.remove(gone.request());
            } else if (timed.fact() instanceof Fact.AllEnded) {
                open.forEach((request, start) -> breaches.add(new Breach(start, request + " was never answered")));
            }
        }
        return breaches;
    }

    private static void end(Map<RequestId, TimedFact> open, RequestId request, TimedFact timed, List<Breach> breaches) {
        if (open.remove(request) == null) {
            breaches.add(new Breach(timed, request + " was answered twice, or never started"));
        }
    }

    private static void checkAnswer(Fact.Answered answer, TimedFact timed, List<Breach> breaches) {
        if (!answer.answerOf().equals(answer.request())) {
            breaches.add(new Breach(timed, answer.request() + " received the answer of " + answer.answerOf()));
        }
        if (!answer.complete()) {
            breaches.add(new Breach(timed, answer.request() + " received an incomplete answer"));
        }
    }

    /** P5: a request refused as not run has no run in the whole trace. */
    static List<Breach> notRunIsTrue(List<TimedFact> facts) {
        Set<RequestId> ran = new HashSet<>();
        for (TimedFact timed : facts) {
            if (timed.fact() instanceof Fact.AttemptRan run) {
                ran.add(run.request());
            } else if (timed.fact() instanceof Fact.ServiceRan run) {
                ran.add(run.request());
            }
        }
        List<Breach> breaches = new ArrayList<>();
        for (TimedFact timed : facts) {
            if (timed.fact() instanceof Fact.Refused refusal
                    && refusal.run() == RunState.NOT_RUN
                    && ran.contains(refusal.request())) {
                breaches.add(new Breach(timed, refusal.request() + " was refused as not run but ran"));
            }
        }
        return breaches;
    }
}
