package org.cowslipbank.entry.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cowslipbank.config.Team;
import org.cowslipbank.decision.admission.Admission;
import org.cowslipbank.decision.admission.AdmissionAnswer;
import org.cowslipbank.decision.admission.AdmissionRelease;
import org.cowslipbank.decision.admission.AdmissionRequest;
import org.cowslipbank.decision.admission.Capacity;
import org.cowslipbank.decision.admission.TeamShare;
import org.cowslipbank.decision.admission.TeamShares;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.Step;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Admission of prompts at this node, one {@link Admission} for each model. Guarded by its own lock. */
final class AdmissionGate {
    private static final long EXPECTED_RUN_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final FleetView fleet;
    private final DecisionRecorder recorder;
    private final Map<String, Group> groups = new HashMap<>();

    AdmissionGate(MonotonicClock clock, FleetView fleet, DecisionRecorder recorder) {
        this.clock = clock;
        this.fleet = fleet;
        this.recorder = recorder;
    }

    /** Waits for admission; an error with the refusal if there is none in time. */
    Mono<Permit> acquire(RequestId request, Team team, String model, long sendByMillis) {
        return Mono.create(sink -> offer(new AdmissionRequest(request, team.id(), 1, sendByMillis), team, model, sink));
    }

    synchronized void setCapacity(String model, List<Capacity.UpstreamLoad> loads, int nodes, int ownSlots) {
        Group group = group(model);
        Capacity.Outcome capacity = Capacity.derive(
                new Capacity.Input(loads, nodes, ownSlots, group.admission.inFlight(), group.admission.keptFree()));
        apply(group, group.admission.capacity(capacity, clock.nowMillis()));
    }

    synchronized void tick() {
        groups.values().forEach(group -> apply(group, group.admission.tick(clock.nowMillis())));
    }

    private synchronized void offer(AdmissionRequest request, Team team, String model, MonoSink<Permit> sink) {
        Group group = group(model);
        AdmissionAnswer answer = group.admission.offer(request, share(team), clock.nowMillis());
        switch (answer.verdict()) {
            case ADMITTED -> sink.success(new Permit(group, request));
            case REFUSED -> refuse(sink, answer.refusal());
            default -> {
                group.waiting.put(request.request(), sink);
                sink.onCancel(() -> withdraw(group, request));
            }
        }
    }

    private synchronized void withdraw(Group group, AdmissionRequest request) {
        if (group.waiting.remove(request.request()) != null) {
            group.admission.withdraw(request);
        }
    }

    private synchronized void end(Group group, AdmissionRequest request, long inFlightMillis, boolean completed) {
        apply(group, group.admission.ended(request, inFlightMillis, completed, clock.nowMillis()));
    }

    private void apply(Group group, AdmissionRelease release) {
        for (AdmissionRequest request : release.admitted()) {
            MonoSink<Permit> sink = group.waiting.remove(request.request());
            if (sink != null) {
                sink.success(new Permit(group, request));
            }
        }
        for (AdmissionRelease.Refused refused : release.refused()) {
            MonoSink<Permit> sink = group.waiting.remove(refused.request().request());
            if (sink != null) {
                refuse(sink, refused.refusal());
            }
        }
    }

    private static void refuse(MonoSink<Permit> sink, Refusal refusal) {
        sink.error(new RefusedException(Step.ADMIT, refusal));
    }

    private TeamShare share(Team team) {
        return recorder.decide(
                TeamShares.DECISION,
                new TeamShares.Input(team.id(), team.limits(), fleet.teamNodes(team.limits()), 0, List.of()));
    }

    private Group group(String model) {
        return groups.computeIfAbsent(model, name -> new Group());
    }

    private static final class Group {
        private final Admission admission = new Admission(0, EXPECTED_RUN_MILLIS);
        private final Map<RequestId, MonoSink<Permit>> waiting = new HashMap<>();
    }

    /** The right to have one request in flight; released once. */
    final class Permit {
        private final Group group;
        private final AdmissionRequest request;
        private final long admittedAtMillis = clock.nowMillis();
        private boolean released;

        private Permit(Group group, AdmissionRequest request) {
            this.group = group;
            this.request = request;
        }

        synchronized void release(boolean completed) {
            if (released) {
                return;
            }
            released = true;
            end(group, request, clock.nowMillis() - admittedAtMillis, completed);
        }
    }
}
