package org.cowslipbank.decision.rollout;

import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/**
 * The last state report of an engine.
 *
 * @param upstream the engine
 * @param loaded the loaded model, weight version and adapter
 * @param draining true if the engine accepts no new runs
 * @param loading true while weights load
 * @param inFlight number of runs in the batch or waiting
 * @param readAtMillis when the controller requested the state
 */
public record EngineReport(
        UpstreamId upstream, ModelRef loaded, boolean draining, boolean loading, int inFlight, long readAtMillis) {}
