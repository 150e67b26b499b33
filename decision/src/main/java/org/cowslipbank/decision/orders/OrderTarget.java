package org.cowslipbank.decision.orders;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/**
 * What an engine is to become.
 *
 * @param upstream the engine
 * @param dataCentre its data centre
 * @param model the model, weight version and adapter to serve
 * @param weightBytes size of the weights in bytes
 * @param retire true if the engine is to be drained, exported and retired
 */
public record OrderTarget(
        UpstreamId upstream, DataCentreId dataCentre, ModelRef model, double weightBytes, boolean retire) {}
