package org.cowslipbank.entry.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cowslipbank.config.Team;
import org.cowslipbank.decision.admission.AdmissionAnswer;
import org.cowslipbank.decision.admission.AdmissionQueue;
import org.cowslipbank.decision.admission.AdmissionRelease;
import org.cowslipbank.decision.admission.AdmissionRequest;
import org.cowslipbank.decision.admission.Capacity;
import org.cowslipbank.decision.admission.TeamShare;
import org.cowslipbank.decision.admission.TeamShares;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;
import org.cowslipbank.model.RequestId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** The node's admission queues for prompts, one {@link AdmissionQueue} per model. Thread-safe. */
final class AdmissionGate {
    private static final long INITIAL_RUN_ESTIMATE_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final FleetState fleet;
    private final DecisionRecorder recorder;
    private final Map<String, ModelQueue> queues = new HashMap<>();

    AdmissionGate(MonotonicClock clock, FleetState fleet, DecisionRecorder recorder) {
        this.clock = clock;
        this.fleet = fleet;
        this.recorder = recorder;
    }

    /** Waits for admission; signals {@link RefusedException} if the request is refused or not admitted in time. */
    Mono<Permit> acquire(RequestId request, Team team, String model, long sendDeadlineMillis) {
        return Mono.create(
                sink -> offer(new AdmissionRequest(request, team.id(), 1, sendDeadlineMillis), team, model, sink));
    }

    synchronized void setCapacity(String model, List<Capacity.UpstreamLoad> loads, int nodes, int ownSlots) {
        ModelQueue queue = queue(model);
        Capacity.Outcome capacity = Capacity.derive(new Capacity.Input(
                loads, nodes, ownSlots, queue.admission.inFlight(), queue.admission.modestReserve()));
        deliver(queue, queue.admission.setCapacity(capacity, clock.nowMillis()));
    }

    synchronized void tick() {
        queues.values().forEach(queue -> deliver(queue, queue.admission.tick(clock.nowMillis())));
    }

    private synchronized void offer(AdmissionRequest request, Team team, String model, MonoSink<Permit> sink) {
        ModelQueue queue = queue(model);
        AdmissionAnswer answer = queue.admission.offer(request, teamShare(team), clock.nowMillis());
        switch (answer.verdict()) {
            case ADMITTED -> sink.success(new Permit(queue, request));
            case REFUSED -> refuse(sink, answer.refusal());
            default -> {
                queue.waiting.put(request.request(), sink);
                sink.onCancel(() -> withdraw(queue, request));
            }
        }
    }

    private synchronized void withdraw(ModelQueue queue, AdmissionRequest request) {
        if (queue.waiting.remove(request.request()) != null) {
            queue.admission.removeQueued(request);
        }
    }

    private synchronized void onRelease(
            ModelQueue queue, AdmissionRequest request, long inFlightMillis, boolean completed) {
        deliver(queue, queue.admission.recordEnd(request, inFlightMillis, completed, clock.nowMillis()));
    }

    private void deliver(ModelQueue queue, AdmissionRelease release) {
        for (AdmissionRequest request : release.admitted()) {
            MonoSink<Permit> sink = queue.waiting.remove(request.request());
            if (sink != null) {
                sink.success(new Permit(queue, request));
            }
        }
        for (AdmissionRelease.Refused refused : release.refused()) {
            MonoSink<Permit> sink = queue.waiting.remove(refused.request().request());
            if (sink != null) {
                refuse(sink, refused.refusal());
            }
        }
    }

    private static void refuse(MonoSink<Permit> sink, Refusal refusal) {
        sink.error(new RefusedException(ProcessingStep.ADMIT, refusal));
    }

    private TeamShare teamShare(Team team) {
        return recorder.decide(
                TeamShares.DECISION,
                new TeamShares.Input(team.id(), team.limits(), fleet.teamNodeCount(team.limits()), 0, List.of()));
    }

    private ModelQueue queue(String model) {
        return queues.computeIfAbsent(model, name -> new ModelQueue());
    }

    private static final class ModelQueue {
        private final AdmissionQueue admission = new AdmissionQueue(0, INITIAL_RUN_ESTIMATE_MILLIS);
        private final Map<RequestId, MonoSink<Permit>> waiting = new HashMap<>();
    }

    /** Permission to have one request in flight. Only the first release has an effect. */
    final class Permit {
        private final ModelQueue queue;
        private final AdmissionRequest request;
        private final long admittedAtMillis = clock.nowMillis();
        private boolean released;

        private Permit(ModelQueue queue, AdmissionRequest request) {
            this.queue = queue;
            this.request = request;
        }

        synchronized void release(boolean completed) {
            if (released) {
                return;
            }
            released = true;
            onRelease(queue, request, clock.nowMillis() - admittedAtMillis, completed);
        }
    }
}
