package org.cowslipbank.decision.rollout;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/**
 * The desired state of an engine.
 *
 * @param upstream the engine
 * @param dataCentre its data centre
 * @param model the model, weight version and adapter to serve
 * @param weightBytes size of the weights in bytes
 * @param retire true to drain the engine, export its blocks and retire it
 */
public record EngineTarget(
        UpstreamId upstream, DataCentreId dataCentre, ModelRef model, double weightBytes, boolean retire) {}
