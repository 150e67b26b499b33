package org.cowslipbank.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiPredicate;

import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;

/**
 * A network of nodes within one process, for tests of other modules. Messages are encoded and decoded with the real
 * codec and are handled on the sender's thread. A delivery rule decides which messages are lost.
 */
public final class InMemoryPeerNetwork {
    private final Map<VmId, Node> nodes = new ConcurrentHashMap<>();
    private volatile BiPredicate<VmId, VmId> deliveryRule = (from, to) -> true;

    /**
     * Creates the transport of a node, which joins the network when started.
     *
     * @param self the node's identity
     * @return the node's transport
     */
    public PeerTransport createTransport(PeerIdentity self) {
        return new Node(self);
    }

    /**
     * Replaces the delivery rule. By default every message is delivered.
     *
     * @param rule returns true for each sender and receiver between which messages are delivered
     */
    public void setDeliveryRule(BiPredicate<VmId, VmId> rule) {
        deliveryRule = rule;
    }

    private final class Node implements PeerTransport {
        private final PeerIdentity self;
        private final Map<RequestKind, RequestHandler> requestHandlers = new EnumMap<>(RequestKind.class);
        private MessageHandler messageHandler = (from, message) -> {};

        private Node(PeerIdentity self) {
            this.self = self;
        }

        @Override
        public Mono<Void> start() {
            return Mono.fromRunnable(() -> nodes.put(self.vm(), this));
        }

        @Override
        public Mono<Void> stop() {
            return Mono.fromRunnable(() -> nodes.remove(self.vm(), this));
        }

        @Override
        public Mono<Void> send(PeerAddress to, PeerMessage message) {
            return Mono.fromCallable(() -> {
                Node receiver = findReceiver(to);
                receiver.messageHandler.handle(self, MessageCodec.decode(MessageCodec.encode(message)));
                return null;
            });
        }

        @Override
        public Mono<byte[]> request(PeerAddress to, RequestKind kind, byte[] body, long timeoutMillis) {
            return Mono.defer(() -> {
                try {
                    RequestHandler handler = findReceiver(to).requestHandlers.get(kind);
                    return handler == null
                            ? Mono.error(unreachableError(to, "peer does not answer " + kind))
                            : handler.handle(self, body);
                } catch (PeerException e) {
                    return Mono.error(e);
                }
            });
        }

        private Node findReceiver(PeerAddress to) throws PeerException {
            Node receiver = nodes.get(to.vm());
            if (receiver == null || !deliveryRule.test(self.vm(), to.vm())) {
                throw unreachableError(to, "cannot connect");
            }
            return receiver;
        }

        private PeerException unreachableError(PeerAddress to, String message) {
            return new PeerException(ProcessingStep.PEER, to.vm() + " " + to.address(), RunState.NOT_RUN, message);
        }

        @Override
        public void onMessage(MessageHandler handler) {
            messageHandler = handler;
        }

        @Override
        public void onRequest(RequestKind kind, RequestHandler handler) {
            requestHandlers.put(kind, handler);
        }

        @Override
        public void retireConnections(PeerAddress to) {
            // There are no connections to close.
        }
    }
}
