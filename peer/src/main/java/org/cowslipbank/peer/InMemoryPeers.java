package org.cowslipbank.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiPredicate;

import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;
import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;

/**
 * A network of nodes within one process, for tests and experiments of other modules. Messages pass through the real
 * codec and arrive on the sender's thread. A rule decides which messages are lost.
 */
public final class InMemoryPeers {
    private final Map<VmId, Node> nodes = new ConcurrentHashMap<>();
    private volatile BiPredicate<VmId, VmId> passes = (from, to) -> true;

    /**
     * Adds a node.
     *
     * @param self its identity
     * @return its transport
     */
    public PeerTransport join(PeerIdentity self) {
        return new Node(self);
    }

    /**
     * Replaces the rule that says which messages pass, given sender and receiver.
     *
     * @param rule the rule
     */
    public void passWhere(BiPredicate<VmId, VmId> rule) {
        passes = rule;
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
                Node receiver = receiver(to);
                receiver.messageHandler.handle(self, MessageCodec.decode(MessageCodec.encode(message)));
                return null;
            });
        }

        @Override
        public Mono<byte[]> request(PeerAddress to, RequestKind kind, byte[] body, long timeoutMillis) {
            return Mono.defer(() -> {
                try {
                    RequestHandler handler = receiver(to).requestHandlers.get(kind);
                    return handler == null
                            ? Mono.error(unreachable(to, "peer does not answer " + kind))
                            : handler.handle(self, body);
                } catch (PeerException e) {
                    return Mono.error(e);
                }
            });
        }

        private Node receiver(PeerAddress to) throws PeerException {
            Node receiver = nodes.get(to.vm());
            if (receiver == null || !passes.test(self.vm(), to.vm())) {
                throw unreachable(to, "cannot connect");
            }
            return receiver;
        }

        private PeerException unreachable(PeerAddress to, String message) {
            return new PeerException(Step.PEER, to.vm() + " " + to.address(), RunState.NOT_RUN, message);
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
        public void reset(PeerAddress to) {
            // There are no connections to close.
        }
    }
}
