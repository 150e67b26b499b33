package org.cowslipbank.decision.orders;

import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/**
 * What an engine last reported.
 *
 * @param upstream the engine
 * @param loaded what it has loaded
 * @param draining true if it takes no new runs
 * @param loading true while weights load
 * @param inFlight runs in its batch or waiting
 * @param readAtMillis when the state was asked for
 */
public record EngineView(
        UpstreamId upstream, ModelRef loaded, boolean draining, boolean loading, int inFlight, long readAtMillis) {}
