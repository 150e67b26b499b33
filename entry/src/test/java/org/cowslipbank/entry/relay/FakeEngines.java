package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;

import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.ports.relay.EngineControl;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Fake engines that accept every order and report while they listen, and cache stores without parts. */
final class FakeEngines implements EngineControl {
    private static final int CONNECT_MILLIS = 500;
    /** Time that an engine takes to answer; the listener of a socket that is being closed may still connect. */
    private static final int ANSWER_MILLIS = 20;

    final List<VersionCommand> orders = new CopyOnWriteArrayList<>();
    final List<String> reports = new CopyOnWriteArrayList<>();
    /** When the process at each address was started, in Unix milliseconds. */
    final Map<String, Long> startedAtMillis = new ConcurrentHashMap<>();
    /** Changes the calls for reports, for engines that answer late or not at all. */
    volatile UnaryOperator<Mono<Report>> reporting = UnaryOperator.identity();

    @Override
    public Mono<Report> report(String address) {
        reports.add(address);
        return reporting.apply(Mono.fromCallable(() -> answer(address)).subscribeOn(Schedulers.boundedElastic()));
    }

    private Report answer(String address) throws PeerException {
        if (address.startsWith("127.")) {
            connect(address);
        }
        Long started = startedAtMillis.get(address);
        return new Report(
                Map.of("m", orders.isEmpty() ? 1L : 2L),
                false,
                orders.size(),
                0,
                0,
                started == null ? OptionalLong.empty() : OptionalLong.of(started));
    }

    /** Fails as a call does if nothing listens at the address, or if the connection is closed instead of answered. */
    private static void connect(String address) throws PeerException {
        int colon = address.lastIndexOf(':');
        RunState runState = RunState.NOT_RUN;
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    CONNECT_MILLIS);
            runState = RunState.UNKNOWN;
            socket.setSoTimeout(ANSWER_MILLIS);
            if (socket.getInputStream().read() < 0) {
                throw new IOException("closed");
            }
        } catch (SocketTimeoutException e) {
            if (runState == RunState.NOT_RUN) {
                throw new PeerException(ProcessingStep.ORDER, address, runState, "cannot connect", e);
            }
        } catch (IOException e) {
            throw new PeerException(ProcessingStep.ORDER, address, runState, "no report", e);
        }
    }

    @Override
    public Mono<CommandOutcome> sendCommand(String address, VersionCommand command) {
        orders.add(command);
        return Mono.just(CommandOutcome.ACCEPTED);
    }

    @Override
    public Mono<CacheChanges> cacheChanges(String address, long since, long waitMillis) {
        return Mono.never();
    }

    @Override
    public Mono<Boolean> free(String address, FreeCall call) {
        return Mono.just(true);
    }
}
