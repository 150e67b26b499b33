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

    /**
     * Ask every other node for the highest sequence of the partition that it has seen or tried to write. A node that
     * has run for a shorter time than the given age may have forgotten, so it counts as not answering.
     *
     * @param confirmedAgeMillis age of this node's last confirmation of the log's end, in milliseconds
     */
    record AskFleet(long confirmedAgeMillis) implements PartitionEffect {}
}
