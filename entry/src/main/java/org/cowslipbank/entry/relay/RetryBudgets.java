package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.Map;

import org.cowslipbank.decision.retry.RetryBudget;
import org.cowslipbank.decision.retry.RetryOutcome;
import org.cowslipbank.decision.retry.RetryPolicy;
import org.cowslipbank.decision.retry.RetryQuestion;
import org.cowslipbank.decision.retry.RetryState;
import org.cowslipbank.decision.retry.RetryVerdict;

/** This node's share of the fleet's retry budget, per service. Owned by the traffic thread. */
final class RetryBudgets {
    private final double share;
    private final double slack;
    private final Map<String, RetryState> states = new HashMap<>();

    RetryBudgets(double share, double slack) {
        this.share = share;
        this.slack = slack;
    }

    void onRequest(String service, long nowMillis) {
        states.put(service, RetryPolicy.onRequest(state(service, nowMillis), nowMillis));
    }

    RetryVerdict decide(String service, RetryQuestion question, int nodes, long nowMillis) {
        RetryBudget budget = RetryBudget.ofFleet(share, slack, nodes);
        RetryOutcome outcome = RetryPolicy.decide(state(service, nowMillis), question, budget, nowMillis);
        states.put(service, outcome.state());
        return outcome.verdict();
    }

    private RetryState state(String service, long nowMillis) {
        return states.computeIfAbsent(service, key -> RetryPolicy.start(nowMillis));
    }
}
