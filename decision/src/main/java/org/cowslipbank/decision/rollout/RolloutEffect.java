package org.cowslipbank.decision.rollout;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/** An action that the controller requests; the caller of the state machine carries it out. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "effect")
@JsonSubTypes({
    @JsonSubTypes.Type(value = RolloutEffect.RequestLease.class, name = "ask_lease"),
    @JsonSubTypes.Type(value = RolloutEffect.Announce.class, name = "announce"),
    @JsonSubTypes.Type(value = RolloutEffect.ReadState.class, name = "read_state"),
    @JsonSubTypes.Type(value = RolloutEffect.RequestSlot.class, name = "ask_slot"),
    @JsonSubTypes.Type(value = RolloutEffect.ReleaseSlot.class, name = "release_slot"),
    @JsonSubTypes.Type(value = RolloutEffect.Command.class, name = "order"),
    @JsonSubTypes.Type(value = RolloutEffect.Export.class, name = "export"),
    @JsonSubTypes.Type(value = RolloutEffect.Retire.class, name = "retire")
})
public sealed interface RolloutEffect {
    /** Acquire or renew the controller's lease. */
    record RequestLease() implements RolloutEffect {}

    /**
     * Announce to all nodes, with the membership probes, whether an engine accepts new work.
     *
     * @param upstream the engine
     * @param leaving true if it accepts none
     */
    record Announce(UpstreamId upstream, boolean leaving) implements RolloutEffect {}

    /**
     * Request an engine's state report.
     *
     * @param upstream the engine
     */
    record ReadState(UpstreamId upstream) implements RolloutEffect {}

    /**
     * Acquire a load slot under the name {@code loads/<data centre>/<slot>}, with the engine as the holder's name.
     *
     * @param upstream the engine that is to load weights
     * @param dataCentre its data centre
     * @param slot the slot, from zero
     * @param ttlMillis lease time in milliseconds
     */
    record RequestSlot(UpstreamId upstream, DataCentreId dataCentre, int slot, long ttlMillis)
            implements RolloutEffect {}

    /**
     * Release a load slot with the fencing token of its lease; an expired lease is not touched.
     *
     * @param upstream the engine that the slot was held for
     * @param dataCentre its data centre
     * @param slot the slot
     */
    record ReleaseSlot(UpstreamId upstream, DataCentreId dataCentre, int slot) implements RolloutEffect {}

    /**
     * Send an engine the command to reach a state.
     *
     * @param upstream the engine
     * @param token the fencing token of the controller's lease
     * @param model the model, weight version and adapter to have loaded
     * @param draining true for the draining role, false for serving
     */
    record Command(UpstreamId upstream, long token, ModelRef model, boolean draining) implements RolloutEffect {}

    /**
     * Export the blocks worth keeping from a drained engine.
     *
     * @param upstream the engine
     */
    record Export(UpstreamId upstream) implements RolloutEffect {}

    /**
     * Tell the platform that a drained and exported engine may be shut down.
     *
     * @param upstream the engine
     */
    record Retire(UpstreamId upstream) implements RolloutEffect {}
}
