package org.cowslipbank.decision.orders;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/** An action that the controller requests; the caller of the state machine carries it out. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "effect")
@JsonSubTypes({
    @JsonSubTypes.Type(value = OrdersEffect.AskLease.class, name = "ask_lease"),
    @JsonSubTypes.Type(value = OrdersEffect.Announce.class, name = "announce"),
    @JsonSubTypes.Type(value = OrdersEffect.ReadState.class, name = "read_state"),
    @JsonSubTypes.Type(value = OrdersEffect.AskSlot.class, name = "ask_slot"),
    @JsonSubTypes.Type(value = OrdersEffect.ReleaseSlot.class, name = "release_slot"),
    @JsonSubTypes.Type(value = OrdersEffect.Order.class, name = "order"),
    @JsonSubTypes.Type(value = OrdersEffect.Export.class, name = "export"),
    @JsonSubTypes.Type(value = OrdersEffect.Retire.class, name = "retire")
})
public sealed interface OrdersEffect {
    /** Acquire or renew the controller's lease. */
    record AskLease() implements OrdersEffect {}

    /**
     * Announce to all nodes, with the membership probes, whether an engine accepts new work.
     *
     * @param upstream the engine
     * @param leaving true if it accepts none
     */
    record Announce(UpstreamId upstream, boolean leaving) implements OrdersEffect {}

    /**
     * Request an engine's state report.
     *
     * @param upstream the engine
     */
    record ReadState(UpstreamId upstream) implements OrdersEffect {}

    /**
     * Acquire a load slot under the name {@code loads/<data centre>/<slot>}, with the engine as the holder's name.
     *
     * @param upstream the engine that is to load weights
     * @param dataCentre its data centre
     * @param slot the slot, from zero
     * @param ttlMillis lease time in milliseconds
     */
    record AskSlot(UpstreamId upstream, DataCentreId dataCentre, int slot, long ttlMillis) implements OrdersEffect {}

    /**
     * Release a load slot with the fencing token of its lease; an expired lease is not touched.
     *
     * @param upstream the engine that the slot was held for
     * @param dataCentre its data centre
     * @param slot the slot
     */
    record ReleaseSlot(UpstreamId upstream, DataCentreId dataCentre, int slot) implements OrdersEffect {}

    /**
     * Send an engine the command to reach a state.
     *
     * @param upstream the engine
     * @param token the fencing token of the controller's lease
     * @param model the model, weight version and adapter to have loaded
     * @param draining true for the draining role, false for serving
     */
    record Order(UpstreamId upstream, long token, ModelRef model, boolean draining) implements OrdersEffect {}

    /**
     * Export the blocks worth keeping from a drained engine.
     *
     * @param upstream the engine
     */
    record Export(UpstreamId upstream) implements OrdersEffect {}

    /**
     * Tell the platform that a drained and exported engine may be shut down.
     *
     * @param upstream the engine
     */
    record Retire(UpstreamId upstream) implements OrdersEffect {}
}
