package org.cowslipbank.decision.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cowslipbank.model.TeamId;

/**
 * Admission queue of one node for one model group. It has no clock; the caller passes the time to every call. Not
 * thread-safe.
 */
public final class AdmissionQueue {
    /**
     * Share of the modest teams' requests that may find all reserved capacity in use; below the 5% allowed to be late.
     */
    private static final double RESERVE_MISS_SHARE = 0.03;

    /** Largest share of the in-flight limit that is reserved for modest teams. */
    private static final double MAX_RESERVE_SHARE = 0.03;

    /** Share of the service rate below which the load of modest teams gets no reserve. */
    private static final double MIN_MODEST_SHARE = 0.001;

    /** Arrival rate in cost per second below which an idle team is removed; about a minute after its last request. */
    private static final double FORGET_BELOW_COST_PER_SECOND = 0.001;

    /** Iterations of the expected wait; the estimate changes little after that. */
    private static final int WAIT_ITERATIONS = 4;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Map<TeamId, TeamQueue> teams = new HashMap<>();
    private final List<TeamQueue> backlogged = new ArrayList<>();
    private ServiceRate serviceRate;
    private double virtualTime;
    private double activeWeight;
    private int keptFree;
    private int inFlight;
    private int inFlightLimit;
    private int modestLimit;

    /**
     * Creates an admission queue without requests.
     *
     * @param inFlightLimit maximum number of requests in flight, from {@link Capacity}
     * @param expectedRunMillis initial estimate of the time that a request of cost 1 is in flight, in milliseconds
     */
    public AdmissionQueue(int inFlightLimit, long expectedRunMillis) {
        this.inFlightLimit = inFlightLimit;
        this.modestLimit = inFlightLimit;
        this.serviceRate = new ServiceRate(expectedRunMillis);
    }

    /**
     * Admits, queues or refuses a new request.
     *
     * @param request the request
     * @param share the team's limits at this node
     * @param nowMillis the time in milliseconds
     * @return the decision; a queued request is returned by a later call as admitted or refused
     */
    public AdmissionAnswer offer(AdmissionRequest request, TeamShare share, long nowMillis) {
        TeamQueue team = teams.computeIfAbsent(request.team(), id -> new TeamQueue(share, nowMillis));
        team.share = share;
        team.bucket = team.bucket.refilled(share.requestsPerSecond(), share.burstRequests(), nowMillis);
        AdmissionAnswer answer = AdmissionRule.decide(ruleInput(team, request, nowMillis));
        if (answer.verdict() == AdmissionAnswer.Verdict.REFUSED) {
            return answer;
        }
        countArrival(team, request, nowMillis);
        if (answer.verdict() == AdmissionAnswer.Verdict.QUEUED) {
            enqueue(team, request);
            return answer;
        }
        virtualTime = Math.max(virtualTime, assignTags(team, request));
        addInFlight(team);
        return answer;
    }

    private AdmissionInput ruleInput(TeamQueue team, AdmissionRequest request, long nowMillis) {
        TeamShare share = team.share;
        // A request never overtakes an earlier one of its own team.
        boolean mayBypassQueue = backlogged.isEmpty() || team.waiting.isEmpty() && isModest(team);
        boolean admissible = hasInFlightCapacity(team) && mayBypassQueue;
        return new AdmissionInput(
                team.bucket.millisUntil(1, share.requestsPerSecond()),
                team.inFlight + team.waiting.size(),
                share.concurrentRequests(),
                (long) serviceRate.waitMillis(1, share.concurrentRequests()),
                admissible,
                admissible ? 0 : expectedWaitMillis(team, request, nowMillis),
                request.sendByMillis(),
                nowMillis);
    }

    /**
     * Records the end of an admitted request and releases its in-flight capacity.
     *
     * @param request the request
     * @param inFlightMillis time that it was in flight, in milliseconds
     * @param completed true if it ran to its end, so that its duration is used to estimate the service rate
     * @param nowMillis the time in milliseconds
     * @return queued requests that are now admitted or refused
     */
    public AdmissionRelease recordEnd(
            AdmissionRequest request, long inFlightMillis, boolean completed, long nowMillis) {
        TeamQueue team = teams.get(request.team());
        if (team != null && team.inFlight > 0) {
            team.inFlight--;
            inFlight--;
        }
        if (completed) {
            serviceRate = serviceRate.withSample(request.cost(), inFlightMillis);
        }
        return releaseQueued(nowMillis);
    }

    /**
     * Removes a queued request, for example when its caller has disconnected.
     *
     * @param request the request
     * @return true if it was queued
     */
    public boolean removeQueued(AdmissionRequest request) {
        TeamQueue team = teams.get(request.team());
        if (team == null || !team.waiting.removeIf(waiting -> waiting.request().equals(request))) {
            return false;
        }
        team.queuedCost -= request.cost();
        removeIfDrained(team);
        return true;
    }

    /**
     * Sets the limits of requests in flight.
     *
     * @param capacity the limits, from {@link Capacity}
     * @param nowMillis the time in milliseconds
     * @return queued requests that are now admitted or refused
     */
    public AdmissionRelease setCapacity(Capacity.Outcome capacity, long nowMillis) {
        inFlightLimit = capacity.inFlightLimit();
        modestLimit = capacity.modestLimit();
        return releaseQueued(nowMillis);
    }

    /**
     * Admits queued requests that fit and refuses those whose deadline has passed. To be called a few times per second.
     *
     * @param nowMillis the time in milliseconds
     * @return queued requests that are now admitted or refused
     */
    public AdmissionRelease tick(long nowMillis) {
        teams.values().removeIf(team -> canForget(team, nowMillis));
        activeWeight = 0;
        for (TeamQueue team : teams.values()) {
            activeWeight += team.idle() ? 0 : team.share.weight();
        }
        keptFree = reserveForModestTeams(nowMillis);
        return releaseQueued(nowMillis);
    }

    /**
     * Returns the number of admitted requests that have not ended.
     *
     * @return the number of requests in flight
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns how much of the in-flight limit is kept free for modest teams.
     *
     * @return number of requests in flight that only modest teams may add
     */
    public int modestReserve() {
        return keptFree;
    }

    /**
     * Returns the number of queued requests of all teams.
     *
     * @return the number of queued requests
     */
    public int queued() {
        int total = 0;
        for (TeamQueue team : backlogged) {
            total += team.waiting.size();
        }
        return total;
    }

    private static boolean canForget(TeamQueue team, long nowMillis) {
        TokenBucket bucket =
                team.bucket.refilled(team.share.requestsPerSecond(), team.share.burstRequests(), nowMillis);
        return team.idle()
                && team.arrivals.perSecond(nowMillis) < FORGET_BELOW_COST_PER_SECOND
                && bucket.tokens() >= team.share.burstRequests();
    }

    private static void countArrival(TeamQueue team, AdmissionRequest request, long nowMillis) {
        team.bucket = team.bucket.minus(1);
        team.arrivals = team.arrivals.plus(request.cost(), nowMillis);
    }

    private AdmissionRelease releaseQueued(long nowMillis) {
        List<AdmissionRequest> admitted = new ArrayList<>();
        List<AdmissionRelease.Refused> refused = new ArrayList<>();
        refuseExpired(nowMillis, refused);
        for (TeamQueue team = nextTeam(); team != null; team = nextTeam()) {
            TeamQueue.Waiting next = team.waiting.removeFirst();
            team.queuedCost -= next.request().cost();
            virtualTime = Math.max(virtualTime, next.startTag());
            removeIfDrained(team);
            addInFlight(team);
            admitted.add(next.request());
        }
        return new AdmissionRelease(admitted, refused);
    }

    private void refuseExpired(long nowMillis, List<AdmissionRelease.Refused> refused) {
        for (TeamQueue team : List.copyOf(backlogged)) {
            team.waiting.removeIf(waiting -> {
                boolean expired = waiting.request().sendByMillis() < nowMillis;
                if (expired) {
                    team.queuedCost -= waiting.request().cost();
                    refused.add(new AdmissionRelease.Refused(waiting.request(), AdmissionRule.expiredInQueue()));
                }
                return expired;
            });
            removeIfDrained(team);
        }
    }

    private TeamQueue nextTeam() {
        TeamQueue best = null;
        for (TeamQueue team : backlogged) {
            boolean earlier = best == null
                    || team.waiting.getFirst().startTag()
                            < best.waiting.getFirst().startTag();
            if (earlier && hasInFlightCapacity(team)) {
                best = team;
            }
        }
        return best;
    }

    private boolean hasInFlightCapacity(TeamQueue team) {
        return inFlight < (isModest(team) ? modestLimit : inFlightLimit - keptFree);
    }

    /** A team is modest while it uses less than its fair share of the in-flight limit, its next request included. */
    private boolean isModest(TeamQueue team) {
        double weights = activeWeight + (team.idle() ? team.share.weight() : 0);
        boolean alone = weights <= team.share.weight();
        return !alone && team.waiting.size() <= 1 && team.inFlight + 1 <= inFlightLimit * team.share.weight() / weights;
    }

    /**
     * Returns how many requests in flight to reserve for modest teams while others have a backlog. Without a reserve a
     * modest team's request would wait for the next run to end, which takes longer than the bound on its first token
     * allows. If modest teams offer a share p of the service rate, a reserve of k is used up for about p to the power k
     * of their requests.
     */
    private int reserveForModestTeams(long nowMillis) {
        double offeredCostPerSecond = 0;
        for (TeamQueue team : teams.values()) {
            offeredCostPerSecond += isModest(team) ? team.arrivals.perSecond(nowMillis) : 0;
        }
        double offeredShare =
                offeredCostPerSecond * serviceRate.millisPerCost() / (MILLIS_PER_SECOND * Math.max(1, inFlightLimit));
        if (offeredShare < MIN_MODEST_SHARE) {
            return 0;
        }
        int maxReserve = Math.max(1, (int) (inFlightLimit * MAX_RESERVE_SHARE));
        int requiredReserve =
                offeredShare >= 1 ? maxReserve : (int) Math.ceil(Math.log(RESERVE_MISS_SHARE) / Math.log(offeredShare));
        return Math.min(maxReserve, requiredReserve);
    }

    private void enqueue(TeamQueue team, AdmissionRequest request) {
        if (team.waiting.isEmpty()) {
            backlogged.add(team);
        }
        team.waiting.addLast(new TeamQueue.Waiting(request, assignTags(team, request)));
        team.queuedCost += request.cost();
    }

    private double assignTags(TeamQueue team, AdmissionRequest request) {
        double start = Math.max(virtualTime, team.lastFinishTag);
        team.lastFinishTag = start + request.cost() / team.share.weight();
        return start;
    }

    /**
     * Estimates the wait of a new request. Requests of other teams that arrive during the wait may have earlier start
     * tags, so the wait is the fixed point of the cost ahead, which the iteration approaches from below.
     */
    private long expectedWaitMillis(TeamQueue team, AdmissionRequest request, long nowMillis) {
        double waitMillis = 0;
        for (int step = 0; step < WAIT_ITERATIONS; step++) {
            waitMillis = serviceRate.waitMillis(costAhead(team, request, waitMillis, nowMillis), inFlightLimit);
        }
        return (long) Math.min(Long.MAX_VALUE, waitMillis);
    }

    /** Returns the cost that fair queueing serves up to and including a new request of the team. */
    private double costAhead(TeamQueue team, AdmissionRequest request, double waitMillis, long nowMillis) {
        double start = Math.max(virtualTime, team.lastFinishTag);
        double ahead = request.cost() + team.queuedCost;
        for (TeamQueue other : backlogged) {
            if (other == team) {
                continue;
            }
            double servedBefore = Math.max(0, start - other.waiting.getFirst().startTag()) * other.share.weight();
            double arriving = other.arrivals.perSecond(nowMillis) * waitMillis / MILLIS_PER_SECOND;
            ahead += Math.min(other.queuedCost + arriving, servedBefore + 1);
        }
        return ahead;
    }

    private void addInFlight(TeamQueue team) {
        team.inFlight++;
        inFlight++;
    }

    private void removeIfDrained(TeamQueue team) {
        if (team.waiting.isEmpty()) {
            backlogged.remove(team);
        }
    }
}
