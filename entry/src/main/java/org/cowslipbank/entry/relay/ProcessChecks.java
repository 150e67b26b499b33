package org.cowslipbank.entry.relay;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.EndEvidence;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.EngineControl;
import reactor.core.publisher.Mono;

/**
 * Checks whether the process that is registered for an upstream is the one that serves now: after an answer that ended with
 * its connection, and before a stream goes on there. An engine is asked for its report, which names its start and takes no
 * slot; to another upstream a connection is opened, which must stay open for a moment and is used for requests afterwards.
 * Callers that ask about the same upstream while a check runs share the next one. Owned by the traffic thread.
 */
final class ProcessChecks {
    /** Limit on a check. A sound upstream may be silent for about a second, and the client already has the body. */
    static final long CHECK_MILLIS = 1_000;

    /** Pause before the second call of a check. */
    static final long RETRY_MILLIS = 50;

    /** How long a connection must stay open; a process that is killed closes its listener and its connections together. */
    static final long STAYS_OPEN_MILLIS = 20;

    private final EngineControl engines;
    private final UpstreamConnectionPool connections;
    private final Supplier<PlatformView> view;
    private final EventLoop loop;
    private final Clocks clocks;
    private final Purpose purpose;
    private final DecisionLog log;
    private final Map<String, Check> checks = new HashMap<>();

    ProcessChecks(
            EngineControl engines,
            UpstreamConnectionPool connections,
            Supplier<PlatformView> view,
            EventLoop loop,
            Clocks clocks,
            Purpose purpose,
            DecisionLog log) {
        this.engines = engines;
        this.connections = connections;
        this.view = view;
        this.loop = loop;
        this.clocks = clocks;
        this.purpose = purpose;
        this.log = log;
    }

    /**
     * What the checks are for.
     *
     * @param logEvent name of the log line on a check
     * @param onCall counts a call to an upstream
     * @param onChecked counts the callers of a check that has ended
     */
    record Purpose(String logEvent, Runnable onCall, CheckedCounter onChecked) {}

    /** Counts callers by whether the registered process proved alive. */
    @FunctionalInterface
    interface CheckedCounter {
        /**
         * Counts the callers of a check that has ended.
         *
         * @param callers the number of callers
         * @param alive true if the registered process is alive
         */
        void count(int callers, boolean alive);
    }

    /** A caller that waits for the evidence. */
    @FunctionalInterface
    interface Pending {
        /** Ends the wait; the caller is not called afterwards. */
        void cancel();
    }

    /**
     * Checks whether the registered process of an upstream is alive. All calls to it begin after this one.
     *
     * @param server the upstream as it is registered
     * @param engine true if it answers reports
     * @param caller receives the evidence in a later task of the traffic thread
     * @return the pending check
     */
    Pending check(UpstreamServer server, boolean engine, Consumer<EndEvidence> caller) {
        Check check = checks.computeIfAbsent(server.incarnation(), key -> new Check(server, engine));
        check.next.add(caller);
        if (!check.scheduled) {
            check.scheduled = true;
            // In a task of its own, so that all callers of this turn share it.
            loop.execute(check::begin);
        }
        return () -> {
            check.next.remove(caller);
            check.current.remove(caller);
        };
    }

    /** The checks of one incarnation, one after the other. */
    private final class Check {
        private final UpstreamServer server;
        private final boolean engine;
        /** Callers that asked before the current check began. */
        private List<Consumer<EndEvidence>> current = new ArrayList<>();
        /** Callers that asked later. */
        private List<Consumer<EndEvidence>> next = new ArrayList<>();

        private boolean scheduled;
        private int calls;
        private long begunMillis;

        Check(UpstreamServer server, boolean engine) {
            this.server = server;
            this.engine = engine;
        }

        void begin() {
            current = next;
            next = new ArrayList<>();
            calls = 0;
            begunMillis = clocks.nowMillis();
            call();
        }

        private void call() {
            if (current.isEmpty()) {
                // All their clients have left or timed out.
                finish();
                return;
            }
            calls++;
            purpose.onCall().run();
            if (engine) {
                askForReport();
            } else {
                connect();
            }
        }

        private void askForReport() {
            engines.report(server.address())
                    .timeout(Duration.ofMillis(Math.max(1, leftMillis())))
                    .map(report -> EndEvidence.ofReport(server.startedAtMillis(), report.startedAtMillis()))
                    .onErrorResume(error -> Mono.just(ofCallError(error)))
                    .subscribe(evidence -> loop.execute(() -> onEvidence(evidence)));
        }

        private void connect() {
            connections.open(server.address(), (opened, error) -> {
                if (error != null) {
                    onEvidence(ofConnectError(error));
                } else {
                    loop.schedule(() -> onStillOpen(opened), STAYS_OPEN_MILLIS, TimeUnit.MILLISECONDS);
                }
            });
        }

        private void onStillOpen(UpstreamConnection opened) {
            if (!opened.isOpen()) {
                onEvidence(EndEvidence.NO_ANSWER);
                return;
            }
            connections.release(opened);
            onEvidence(EndEvidence.ALIVE);
        }

        private void onEvidence(EndEvidence evidence) {
            connections.onEvent();
            if (evidence.isWorthAnotherCall(calls) && leftMillis() > RETRY_MILLIS) {
                loop.schedule(this::call, RETRY_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            EndEvidence known = evidence == EndEvidence.ALIVE && isReplaced() ? EndEvidence.RESTARTED : evidence;
            List<Consumer<EndEvidence>> answered = List.copyOf(current);
            purpose.onChecked().count(answered.size(), known == EndEvidence.ALIVE);
            log.logRequest(LogFields.event(purpose.logEvent())
                    .peer(server.address())
                    .field("incarnation", server.incarnation())
                    .field("evidence", known)
                    .field("answers", answered.size())
                    .field("calls", calls)
                    .field("millis", clocks.nowMillis() - begunMillis));
            answered.stream().filter(current::contains).forEach(caller -> caller.accept(known));
            current.clear();
            finish();
        }

        private void finish() {
            if (next.isEmpty()) {
                checks.remove(server.incarnation());
            } else {
                begin();
            }
        }

        private long leftMillis() {
            return begunMillis + CHECK_MILLIS - clocks.nowMillis();
        }

        /** Returns whether a later start is registered. An upstream whose registration is gone may still be serving. */
        private boolean isReplaced() {
            return view.get().servers().values().stream()
                    .anyMatch(other -> other.startedAtMillis() > server.startedAtMillis()
                            && (other.id().equals(server.id())
                                    || other.address().equals(server.address())));
        }
    }

    private static EndEvidence ofCallError(Throwable error) {
        return error instanceof PeerException failed && failed.runState() == RunState.NOT_RUN
                ? EndEvidence.REFUSED
                : EndEvidence.NO_ANSWER;
    }

    private static EndEvidence ofConnectError(Throwable error) {
        return error instanceof ConnectException && !(error instanceof ConnectTimeoutException)
                ? EndEvidence.REFUSED
                : EndEvidence.NO_ANSWER;
    }
}
