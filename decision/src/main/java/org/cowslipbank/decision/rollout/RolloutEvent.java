package org.cowslipbank.decision.rollout;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cowslipbank.model.UpstreamId;

/** An input of the controller's state machine. Times are milliseconds on the node's monotonic clock. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
    @JsonSubTypes.Type(value = RolloutEvent.Tick.class, name = "tick"),
    @JsonSubTypes.Type(value = RolloutEvent.LeaseAnswer.class, name = "lease_answer"),
    @JsonSubTypes.Type(value = RolloutEvent.Targets.class, name = "targets"),
    @JsonSubTypes.Type(value = RolloutEvent.ReportReceived.class, name = "observed"),
    @JsonSubTypes.Type(value = RolloutEvent.CommandRejected.class, name = "rejected"),
    @JsonSubTypes.Type(value = RolloutEvent.SlotAnswer.class, name = "slot_answer"),
    @JsonSubTypes.Type(value = RolloutEvent.Exported.class, name = "exported")
})
public sealed interface RolloutEvent {
    /** Time has passed; sent every few hundred milliseconds. */
    record Tick() implements RolloutEvent {}

    /**
     * The platform answered a request for the controller's lease.
     *
     * @param held true if this node holds it
     * @param token fencing token of the lease
     * @param askedAtMillis when the request was sent; the lease time counts from here
     * @param ttlMillis remaining lease time in the answer
     */
    record LeaseAnswer(boolean held, long token, long askedAtMillis, long ttlMillis) implements RolloutEvent {}

    /**
     * The configuration changed the targets.
     *
     * @param targets the targets of all engines of the model group
     */
    record Targets(List<EngineTarget> targets) implements RolloutEvent {
        /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
        public Targets {
            targets = List.copyOf(targets);
        }
    }

    /**
     * An engine reported its state.
     *
     * @param view the report
     */
    record ReportReceived(EngineReport view) implements RolloutEvent {}

    /**
     * An engine rejected a command because its fencing token is outdated.
     *
     * @param upstream the engine
     * @param token the rejected token
     */
    record CommandRejected(UpstreamId upstream, long token) implements RolloutEvent {}

    /**
     * The platform answered a request for a load slot.
     *
     * @param upstream the engine that the slot is for
     * @param slot the slot
     * @param held true if this node now holds the slot for that engine
     * @param askedAtMillis when the request was sent
     */
    record SlotAnswer(UpstreamId upstream, int slot, boolean held, long askedAtMillis) implements RolloutEvent {}

    /**
     * The export of a retiring engine has finished or was abandoned.
     *
     * @param upstream the engine
     */
    record Exported(UpstreamId upstream) implements RolloutEvent {}
}
