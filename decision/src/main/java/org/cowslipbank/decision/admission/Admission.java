package org.cowslipbank.decision.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cowslipbank.model.TeamId;

/**
 * Admission at one node for one model group. It has no clock; every call names the time. It is not thread-safe: one
 * thread calls it.
 */
public final class Admission {
    /** Part of the modest teams' requests that may find every reserved place in use; below the 5% beyond the bound. */
    private static final double RESERVE_MISS = 0.03;

    /** The largest part of the places that is reserved. */
    private static final double MAX_RESERVE_SHARE = 0.03;

    /** Modest teams that offer less than this part of the service rate get no reserve. */
    private static final double MIN_MODEST_SHARE = 0.001;

    /** Offered cost a second below which an idle team is forgotten; about a minute after its last request. */
    private static final double FORGOTTEN_PER_SECOND = 0.001;

    /** Steps of the iteration for the expected wait; the estimate changes little after them. */
    private static final int WAIT_STEPS = 4;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Map<TeamId, TeamQueue> teams = new HashMap<>();
    private final List<TeamQueue> backlogged = new ArrayList<>();
    private ServiceRate rate;
    private double virtualTime;
    private double activeWeight;
    private int keptFree;
    private int inFlight;
    private int inFlightLimit;
    private int modestLimit;

    /**
     * Creates an empty admission.
     *
     * @param inFlightLimit the most requests in flight, from {@link Capacity}
     * @param expectedRunMillis first estimate of the time that a usual request is in flight
     */
    public Admission(int inFlightLimit, long expectedRunMillis) {
        this.inFlightLimit = inFlightLimit;
        this.modestLimit = inFlightLimit;
        this.rate = new ServiceRate(expectedRunMillis);
    }

    /**
     * Asks for admission.
     *
     * @param request the request
     * @param share the team's share at this node
     * @param nowMillis the time in milliseconds
     * @return the answer
     */
    public AdmissionAnswer offer(AdmissionRequest request, TeamShare share, long nowMillis) {
        TeamQueue team = teams.computeIfAbsent(request.team(), id -> new TeamQueue(share, nowMillis));
        team.share = share;
        team.bucket = team.bucket.refilled(share.requestsPerSecond(), share.burstRequests(), nowMillis);
        AdmissionAnswer answer = AdmissionRule.decide(facts(team, request, nowMillis));
        if (answer.verdict() == AdmissionAnswer.Verdict.REFUSED) {
            return answer;
        }
        accept(team, request, nowMillis);
        if (answer.verdict() == AdmissionAnswer.Verdict.QUEUED) {
            enqueue(team, request);
            return answer;
        }
        virtualTime = Math.max(virtualTime, tag(team, request));
        enter(team);
        return answer;
    }

    private AdmissionFacts facts(TeamQueue team, AdmissionRequest request, long nowMillis) {
        TeamShare share = team.share;
        // A request never overtakes an earlier one of its own team.
        boolean mayPass = backlogged.isEmpty() || team.waiting.isEmpty() && isModest(team);
        boolean placeFree = mayEnter(team) && mayPass;
        return new AdmissionFacts(
                team.bucket.millisUntil(1, share.requestsPerSecond()),
                team.inFlight + team.waiting.size(),
                share.concurrentRequests(),
                (long) rate.waitMillis(1, share.concurrentRequests()),
                placeFree,
                placeFree ? 0 : expectedWaitMillis(team, request, nowMillis),
                request.sendByMillis(),
                nowMillis);
    }

    /**
     * Notes that an admitted request has ended and frees its place.
     *
     * @param request the request
     * @param inFlightMillis how long it was in flight
     * @param completed true if it ran to its end, so that its time counts in the estimate
     * @param nowMillis the time in milliseconds
     * @return queued requests whose wait has ended
     */
    public AdmissionRelease ended(AdmissionRequest request, long inFlightMillis, boolean completed, long nowMillis) {
        TeamQueue team = teams.get(request.team());
        if (team != null && team.inFlight > 0) {
            team.inFlight--;
            inFlight--;
        }
        if (completed) {
            rate = rate.observed(request.cost(), inFlightMillis);
        }
        return release(nowMillis);
    }

    /**
     * Removes a queued request whose caller has gone.
     *
     * @param request the request
     * @return true if it was queued
     */
    public boolean withdraw(AdmissionRequest request) {
        TeamQueue team = teams.get(request.team());
        if (team == null || !team.waiting.removeIf(waiting -> waiting.request().equals(request))) {
            return false;
        }
        team.queuedCost -= request.cost();
        dropIfEmpty(team);
        return true;
    }

    /**
     * Sets the capacity.
     *
     * @param capacity the limits, from {@link Capacity}
     * @param nowMillis the time in milliseconds
     * @return queued requests whose wait has ended
     */
    public AdmissionRelease capacity(Capacity.Outcome capacity, long nowMillis) {
        inFlightLimit = capacity.inFlightLimit();
        modestLimit = capacity.modestLimit();
        return release(nowMillis);
    }

    /**
     * Releases what can be sent and refuses what has waited too long. The shell calls it a few times a second.
     *
     * @param nowMillis the time in milliseconds
     * @return queued requests whose wait has ended
     */
    public AdmissionRelease tick(long nowMillis) {
        teams.values().removeIf(team -> isForgotten(team, nowMillis));
        activeWeight = 0;
        for (TeamQueue team : teams.values()) {
            activeWeight += team.idle() ? 0 : team.share.weight();
        }
        keptFree = placesToKeep(nowMillis);
        return release(nowMillis);
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the number
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the number of places that are kept free for modest teams.
     *
     * @return the number
     */
    public int keptFree() {
        return keptFree;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number
     */
    public int queued() {
        int total = 0;
        for (TeamQueue team : backlogged) {
            total += team.waiting.size();
        }
        return total;
    }

    private static boolean isForgotten(TeamQueue team, long nowMillis) {
        TokenBucket bucket =
                team.bucket.refilled(team.share.requestsPerSecond(), team.share.burstRequests(), nowMillis);
        return team.idle()
                && team.arrivals.perSecond(nowMillis) < FORGOTTEN_PER_SECOND
                && bucket.tokens() >= team.share.burstRequests();
    }

    private static void accept(TeamQueue team, AdmissionRequest request, long nowMillis) {
        team.bucket = team.bucket.less(1);
        team.arrivals = team.arrivals.added(request.cost(), nowMillis);
    }

    private AdmissionRelease release(long nowMillis) {
        List<AdmissionRequest> admitted = new ArrayList<>();
        List<AdmissionRelease.Refused> refused = new ArrayList<>();
        expire(nowMillis, refused);
        for (TeamQueue team = earliest(); team != null; team = earliest()) {
            TeamQueue.Waiting next = team.waiting.removeFirst();
            team.queuedCost -= next.request().cost();
            virtualTime = Math.max(virtualTime, next.startTag());
            dropIfEmpty(team);
            enter(team);
            admitted.add(next.request());
        }
        return new AdmissionRelease(admitted, refused);
    }

    private void expire(long nowMillis, List<AdmissionRelease.Refused> refused) {
        for (TeamQueue team : List.copyOf(backlogged)) {
            team.waiting.removeIf(waiting -> {
                boolean late = waiting.request().sendByMillis() < nowMillis;
                if (late) {
                    team.queuedCost -= waiting.request().cost();
                    refused.add(new AdmissionRelease.Refused(waiting.request(), AdmissionRule.waitedTooLong()));
                }
                return late;
            });
            dropIfEmpty(team);
        }
    }

    private TeamQueue earliest() {
        TeamQueue best = null;
        for (TeamQueue team : backlogged) {
            boolean earlier = best == null
                    || team.waiting.getFirst().startTag()
                            < best.waiting.getFirst().startTag();
            if (earlier && mayEnter(team)) {
                best = team;
            }
        }
        return best;
    }

    private boolean mayEnter(TeamQueue team) {
        return inFlight < (isModest(team) ? modestLimit : inFlightLimit - keptFree);
    }

    /** A team is modest while it uses less than its fair share of the places, its next request included. */
    private boolean isModest(TeamQueue team) {
        double weights = activeWeight + (team.idle() ? team.share.weight() : 0);
        boolean alone = weights <= team.share.weight();
        return !alone && team.waiting.size() <= 1 && team.inFlight + 1 <= inFlightLimit * team.share.weight() / weights;
    }

    /**
     * Returns the places that only modest teams may take while others have a backlog. Without them a modest team's
     * request would wait for the next run to end, which takes longer than the bound on its first token allows. If modest
     * teams offer the part p of the service rate, k reserved places are all in use for about the part p to the power k
     * of their requests.
     */
    private int placesToKeep(long nowMillis) {
        double offered = 0;
        for (TeamQueue team : teams.values()) {
            offered += isModest(team) ? team.arrivals.perSecond(nowMillis) : 0;
        }
        double share = offered * rate.millisPerCost() / (MILLIS_PER_SECOND * Math.max(1, inFlightLimit));
        if (share < MIN_MODEST_SHARE) {
            return 0;
        }
        int most = Math.max(1, (int) (inFlightLimit * MAX_RESERVE_SHARE));
        int wanted = share >= 1 ? most : (int) Math.ceil(Math.log(RESERVE_MISS) / Math.log(share));
        return Math.min(most, wanted);
    }

    private void enqueue(TeamQueue team, AdmissionRequest request) {
        if (team.waiting.isEmpty()) {
            backlogged.add(team);
        }
        team.waiting.addLast(new TeamQueue.Waiting(request, tag(team, request)));
        team.queuedCost += request.cost();
    }

    private double tag(TeamQueue team, AdmissionRequest request) {
        double start = Math.max(virtualTime, team.lastFinishTag);
        team.lastFinishTag = start + request.cost() / team.share.weight();
        return start;
    }

    /**
     * Estimates the wait of a new request. Requests of other teams that arrive during the wait may have earlier tags, so
     * the wait is the fixed point of the cost ahead, which the iteration approaches from below.
     */
    private long expectedWaitMillis(TeamQueue team, AdmissionRequest request, long nowMillis) {
        double waitMillis = 0;
        for (int step = 0; step < WAIT_STEPS; step++) {
            waitMillis = rate.waitMillis(costAhead(team, request, waitMillis, nowMillis), inFlightLimit);
        }
        return (long) Math.min(Long.MAX_VALUE, waitMillis);
    }

    /** Returns the cost that fair queueing serves before a new request of the team, its own included. */
    private double costAhead(TeamQueue team, AdmissionRequest request, double waitMillis, long nowMillis) {
        double start = Math.max(virtualTime, team.lastFinishTag);
        double ahead = request.cost() + team.queuedCost;
        for (TeamQueue other : backlogged) {
            if (other == team) {
                continue;
            }
            double span = Math.max(0, start - other.waiting.getFirst().startTag()) * other.share.weight();
            double arriving = other.arrivals.perSecond(nowMillis) * waitMillis / MILLIS_PER_SECOND;
            ahead += Math.min(other.queuedCost + arriving, span + 1);
        }
        return ahead;
    }

    private void enter(TeamQueue team) {
        team.inFlight++;
        inFlight++;
    }

    private void dropIfEmpty(TeamQueue team) {
        if (team.waiting.isEmpty()) {
            backlogged.remove(team);
        }
    }
}
