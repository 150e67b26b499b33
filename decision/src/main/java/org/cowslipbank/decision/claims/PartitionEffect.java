package org.cowslipbank.decision.claims;

/** What a partition's owner wants done. */
public sealed interface PartitionEffect {
    /**
     * Call the key-value service and hand back the reply.
     *
     * @param call the call
     */
    record Call(PlatformCall call) implements PartitionEffect {}

    /**
     * Answer a request.
     *
     * @param requestId the request's number
     * @param outcome the outcome
     */
    record Answer(long requestId, ClaimOutcome outcome) implements PartitionEffect {}

    /** Ask every other node for the highest sequence of the partition that it has seen or tried to write. */
    record AskFleet() implements PartitionEffect {}
}
