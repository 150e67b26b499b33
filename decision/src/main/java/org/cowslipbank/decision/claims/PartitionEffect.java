package org.cowslipbank.decision.claims;

/** Action that a {@link PartitionOwner} requests from the code that runs it. */
public sealed interface PartitionEffect {
    /**
     * Calls the key-value service and passes the reply to {@link PartitionOwner#onReply}.
     *
     * @param call the call
     */
    record Call(PlatformCall call) implements PartitionEffect {}

    /**
     * Answers a request.
     *
     * @param requestId identifier under which the request was submitted
     * @param outcome the outcome
     */
    record Answer(long requestId, ClaimOutcome outcome) implements PartitionEffect {}

    /**
     * Asks every other node for the highest sequence of the partition that it has seen or tried to write. A node that
     * has run for a shorter time than the given age may have lost what it knew in a restart, so it counts as not
     * answering.
     *
     * @param confirmedAgeMillis age of this node's last confirmation of the log's end, in milliseconds
     */
    record AskFleet(long confirmedAgeMillis) implements PartitionEffect {}
}
