package org.cowslipbank.decision.orders;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/** What the shell of a controller has to do. */
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
     * Tell the nodes with the probes whether an engine takes new work.
     *
     * @param upstream the engine
     * @param leaving true if it takes none
     */
    record Announce(UpstreamId upstream, boolean leaving) implements OrdersEffect {}

    /**
     * Read an engine's state.
     *
     * @param upstream the engine
     */
    record ReadState(UpstreamId upstream) implements OrdersEffect {}

    /**
     * Acquire a load slot under the name {@code loads/<data centre>/<slot>}, with the engine as the holder's name.
     *
     * @param upstream the engine that is to load
     * @param dataCentre its data centre
     * @param slot the slot, from zero
     * @param ttlMillis lifetime
     */
    record AskSlot(UpstreamId upstream, DataCentreId dataCentre, int slot, long ttlMillis) implements OrdersEffect {}

    /**
     * Release a load slot under the token of its lease; a lapsed one is left alone.
     *
     * @param upstream the engine that held it
     * @param dataCentre its data centre
     * @param slot the slot
     */
    record ReleaseSlot(UpstreamId upstream, DataCentreId dataCentre, int slot) implements OrdersEffect {}

    /**
     * Give a command.
     *
     * @param upstream the engine
     * @param token the fencing token
     * @param model the model, weight version and adapter to have
     * @param draining true for the draining role, false for serving
     */
    record Order(UpstreamId upstream, long token, ModelRef model, boolean draining) implements OrdersEffect {}

    /**
     * Export what is worth keeping from a drained engine.
     *
     * @param upstream the engine
     */
    record Export(UpstreamId upstream) implements OrdersEffect {}

    /**
     * Tell the platform that a drained and exported engine may go.
     *
     * @param upstream the engine
     */
    record Retire(UpstreamId upstream) implements OrdersEffect {}
}
