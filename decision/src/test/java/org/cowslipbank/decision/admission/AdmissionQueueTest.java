package org.cowslipbank.decision.admission;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.Example;
import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

final class AdmissionQueueTest {
    private static final TeamShare GREEDY = new TeamShare(new TeamId("greedy"), 1_000, 1_000, 1_000, 1);
    private static final TeamShare MODEST = new TeamShare(new TeamId("modest"), 1_000, 1_000, 1_000, 1);
    private static final TeamShare SLOW = new TeamShare(new TeamId("slow"), 2, 1, 10, 1);

    /** Failure guarded against: the backlog of one team delays another team. */
    @Example
    void anIdleTeamIsServedBeforeABacklog() {
        AdmissionQueue admission = new AdmissionQueue(1, 100);
        AdmissionRequest running = request(GREEDY, 0, 60_000);
        admission.offer(running, GREEDY, 0);
        for (int number = 1; number <= 50; number++) {
            admission.offer(request(GREEDY, number, 60_000), GREEDY, 0);
        }
        AdmissionRequest modest = request(MODEST, 0, 60_000);
        AdmissionAnswer answer = admission.offer(modest, MODEST, 1);
        List<AdmissionRequest> order =
                new ArrayList<>(admission.recordEnd(running, 100, true, 100).admitted());
        order.addAll(admission.recordEnd(order.get(0), 100, true, 200).admitted());
        assert order.contains(modest) : order;
        assert answer.expectedWaitMillis() <= 300 : answer;
    }

    /** Failure guarded against: a request waits past its deadline instead of being refused on arrival. */
    @Example
    void requestThatCannotMeetItsDeadlineIsRefusedAsNotRun() {
        AdmissionQueue admission = new AdmissionQueue(1, 1_000);
        admission.offer(request(GREEDY, 0, 60_000), GREEDY, 0);
        AdmissionAnswer queued = admission.offer(request(GREEDY, 1, 1_500), GREEDY, 0);
        AdmissionAnswer refused = admission.offer(request(GREEDY, 2, 1_500), GREEDY, 0);
        assert queued.verdict() == AdmissionAnswer.Verdict.QUEUED : queued;
        assert refused.verdict() == AdmissionAnswer.Verdict.REFUSED : refused;
        assert refused.refusal().runState() == RunState.NOT_RUN
                && refused.refusal().retryAfterMillis() > 0;
        AdmissionRelease late = admission.tick(1_501);
        assert late.refused().size() == 1 && late.admitted().isEmpty() : late;
    }

    /** Failure guarded against: a team exceeds its rate, or is refused again after the retry delay it was given. */
    @Example
    void requestIsAdmittedAfterTheRetryDelayOfARateLimit() {
        AdmissionQueue admission = new AdmissionQueue(10, 100);
        assert verdict(admission, SLOW, 0, 0) == AdmissionAnswer.Verdict.ADMITTED;
        AdmissionAnswer refused = admission.offer(request(SLOW, 1, 60_000), SLOW, 100);
        assert refused.refusal().httpStatus() == 429 : refused;
        assert verdict(admission, SLOW, 2, 100 + refused.refusal().retryAfterMillis())
                == AdmissionAnswer.Verdict.ADMITTED;
    }

    /** Failure guarded against: without capacity requests wait, or get an unbounded retry delay. */
    @Example
    void withoutCapacityRequestsAreRefusedAtOnce() throws Exception {
        AdmissionQueue admission = new AdmissionQueue(0, 1_000);
        AdmissionAnswer answer = admission.offer(request(GREEDY, 0, 60_000), GREEDY, 0);
        assert answer.verdict() == AdmissionAnswer.Verdict.REFUSED : answer;
        assert answer.refusal().retryAfterMillis() == AdmissionRule.MAX_RETRY_AFTER_MILLIS : answer;
        AdmissionInput input = new AdmissionInput(0, 1, 1, 500, true, 0, 100, 0);
        ObjectMapper mapper = new ObjectMapper();
        AdmissionInput read = mapper.readValue(mapper.writeValueAsString(input), AdmissionInput.class);
        AdmissionAnswer replayed = AdmissionRule.DECISION.function().apply(read);
        assert replayed.equals(mapper.readValue(mapper.writeValueAsString(replayed), AdmissionAnswer.class));
        assert replayed.refusal().code().equals("team_concurrency_exceeded") : replayed;
    }

    /** Failure guarded against: a team whose sessions all reach one node gets only a fraction of its limit. */
    @Example
    void unusedShareIsLentAndStaleReportsAreNot() {
        TeamLimits limits = new TeamLimits(30, 30, 30, 1);
        TeamShares.Demand idle = new TeamShares.Demand(0, 500);
        TeamShares.Demand stale = new TeamShares.Demand(0, 10_000);
        TeamId team = new TeamId("t");
        assert share(new TeamShares.Input(team, limits, 3, 30, List.of(idle, idle))) == 30;
        assert share(new TeamShares.Input(team, limits, 3, 30, List.of(idle, stale))) == 20;
        assert share(new TeamShares.Input(team, limits, 3, 5, List.of(idle, idle))) == 10;
    }

    /** Failure guarded against: capacity that is gone is still granted, or one node takes every free slot. */
    @Example
    void capacityFollowsSlotsAndLoad() {
        Capacity.UpstreamLoad free = new Capacity.UpstreamLoad(16, 0, 0, 0);
        Capacity.UpstreamLoad full = new Capacity.UpstreamLoad(16, 16, 2, 0);
        assert limit(List.of(free, free), 4, 10) == 18;
        assert limit(List.of(full, full), 4, 10) == 9;
        assert limit(List.of(full, full), 4, 0) == 8;
        assert limit(List.of(), 4, 10) == 0;
    }

    /** Failure guarded against: the shares of all nodes add up to more or fewer slots than an upstream has. */
    @Example
    void slotSharesAddUp() {
        List<VmId> nodes = List.of(new VmId("n1"), new VmId("n2"), new VmId("n3"));
        UpstreamId upstream = new UpstreamId("e1");
        int total = 0;
        for (VmId node : nodes) {
            int own = SlotShares.ownSlots(upstream, 16, node, nodes);
            assert own == 5 || own == 6 : own;
            total += own;
        }
        assert total == 16 : total;
    }

    private static int limit(List<Capacity.UpstreamLoad> loads, int nodes, int ownInFlight) {
        return Capacity.derive(new Capacity.Input(loads, nodes, loads.size() * 16 / nodes, ownInFlight, 0))
                .inFlightLimit();
    }

    private static double share(TeamShares.Input input) {
        return TeamShares.derive(input).requestsPerSecond();
    }

    private static AdmissionAnswer.Verdict verdict(
            AdmissionQueue admission, TeamShare share, int number, long nowMillis) {
        return admission
                .offer(request(share, number, 60_000 + nowMillis), share, nowMillis)
                .verdict();
    }

    private static AdmissionRequest request(TeamShare share, int number, long sendByMillis) {
        return new AdmissionRequest(new RequestId(share.team() + "-" + number), share.team(), 1, sendByMillis);
    }
}
