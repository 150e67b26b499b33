package org.cowslipbank.entry.relay;

import java.util.Optional;

import org.cowslipbank.decision.relay.ForwardingNodes;
import org.cowslipbank.decision.relay.UpstreamLoads.Outcome;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.AnswerHead;
import org.cowslipbank.ports.relay.ForwardedAnswer;
import org.cowslipbank.ports.relay.Forwarding;
import org.cowslipbank.ports.relay.Header;
import org.cowslipbank.ports.relay.RelayRequest;

/**
 * An attempt's target that is another node, which serves the request as its own. Limits, pauses, retry budgets, crash
 * evidence and stream origins are kept there.
 */
final class NodeTarget implements AttemptTarget {
    /** Silence of a node that is cut off after which its answer is not awaited any longer. */
    static final long SILENCE_MILLIS = 500;

    /** The same for a node that is no longer registered; it may be stopping, and still move requests that wait. */
    static final long UNREGISTERED_SILENCE_MILLIS = 2_500;

    /** Time by which the other node gives up earlier, so that its own answer arrives before this node's deadline. */
    static final long DEADLINE_MARGIN_MILLIS = 40;

    private final RelayContext context;
    private final RelayRequest request;
    private final ForwardingNodes.Node node;
    private final Forwarding forwarding;
    private Optional<ForwardedAnswer> answer = Optional.empty();
    private long lastBytesMillis;

    NodeTarget(RelayContext context, RelayRequest request, ForwardingNodes.Node node, Forwarding forwarding) {
        this.context = context;
        this.request = request;
        this.node = node;
        this.forwarding = forwarding;
    }

    @Override
    public Optional<UpstreamServer> upstream() {
        return Optional.empty();
    }

    @Override
    public UpstreamConnectionPool connections() {
        return context.forwarding().connections();
    }

    @Override
    public String address() {
        return node.address();
    }

    @Override
    public void onStarted() {
        context.forwarding().onSent(node.name());
        context.metrics().onForwarded();
        lastBytesMillis = context.clocks().nowMillis();
    }

    @Override
    public Optional<String> heldBack() {
        return Optional.empty();
    }

    @Override
    public Iterable<Header> encode(long leftMillis, Optional<String> resumeAfter) {
        long timeoutMillis = Math.max(1, leftMillis - DEADLINE_MARGIN_MILLIS);
        return context.codec().encodeForwarded(request, forwarding, timeoutMillis, resumeAfter);
    }

    // A node that serves may rightly be silent, because the request waits there.
    @Override
    public boolean isSilent() {
        if (context.forwarding().isServing(node.name())) {
            return false;
        }
        long limitMillis =
                context.forwarding().isRegistered(node.name()) ? SILENCE_MILLIS : UNREGISTERED_SILENCE_MILLIS;
        return context.turns().lastReadMillis() - lastBytesMillis >= limitMillis;
    }

    @Override
    public void onBytesReceived() {
        lastBytesMillis = context.clocks().nowMillis();
    }

    @Override
    public void onHead(AnswerHead head, long sentMillis) {
        answer = head.forwarded();
    }

    // The other node takes the request back from the engine.
    @Override
    public boolean isTooOldToBegin() {
        return false;
    }

    @Override
    public void onRejected(AnswerHead head) {
        context.forwarding().onUnable(node.name());
    }

    // A node that still serves has given up after the retries that it was allowed.
    @Override
    public boolean breakIsFinal() {
        return answer.isPresent() && context.forwarding().isServing(node.name());
    }

    @Override
    public void onPromptRead() {
        // The other node keeps the load of the upstream.
    }

    @Override
    public void onEnded(Outcome outcome) {
        context.forwarding().onEnded(node.name());
        // A node that breaks an upstream's answer off has most likely lost that upstream.
        boolean lost = outcome == Outcome.BROKEN && answer.isEmpty();
        if (outcome == Outcome.UNREACHABLE || outcome == Outcome.SILENT || lost) {
            context.forwarding().onUnable(node.name());
        }
    }

    @Override
    public Optional<String> softwareVersion() {
        return answer.flatMap(ForwardedAnswer::softwareVersion);
    }

    @Override
    public void describe(LogFields line) {
        line.peer(node.address()).field("node", node.name());
    }
}
