package org.cowslipbank.decision.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.cowslipbank.decision.claims.ClaimOutcome.Kind;
import org.cowslipbank.model.TeamId;

/**
 * Simulates two nodes that may both believe that they own one partition, a key-value service with faults, and callers
 * that repeat their calls. Every call to the service takes effect at a random later step, and its reply is delivered at
 * a random step after that, or never.
 */
final class ClaimSimulation {
    private static final int KEY_COUNT = 3;
    private static final ClaimSettings SETTINGS =
            new ClaimSettings(new ClaimWindows(1_000_000, 2), 1, 30, 500, 5_000, 200);

    private record ServiceCall(int node, int incarnation, long callNumber, PlatformCall call, boolean loseReply) {}

    private record Reply(int node, int incarnation, long callNumber, PlatformReply reply) {}

    private record SubmittedRequest(int node, int incarnation, PartitionRequest request, boolean ranBefore) {}

    private final Random random;
    private final TreeMap<Long, ClaimBatch> log = new TreeMap<>();
    private final Map<String, SegmentValue> segments = new HashMap<>();
    private final List<ServiceCall> inService = new ArrayList<>();
    private final List<Reply> replies = new ArrayList<>();
    private final Map<Long, SubmittedRequest> submitted = new HashMap<>();
    private final Queue<PartitionRequest> followUps = new ArrayDeque<>();
    private final PartitionOwner[] nodes = new PartitionOwner[2];
    private final int[] incarnations = new int[2];
    private final long[] openCalls = new long[2];
    private final boolean[] paused = new boolean[2];
    private final long[] startedMillis = new long[2];
    private final Set<Integer> grantedKeys = new HashSet<>();
    private final Map<Integer, String> firstAnswers = new HashMap<>();
    private final Map<Integer, Integer> runsByKey = new HashMap<>();
    private final List<String> history = new ArrayList<>();
    private final boolean evictOldKeys;

    private PartitionHead head = PartitionHead.EMPTY;
    private long headVersion;
    private boolean serviceDown;
    private long nowMillis = 10_000_000;
    private long lastNumber;
    int answered;

    ClaimSimulation(long seed, boolean evictOldKeys) {
        this.random = new Random(seed);
        this.evictOldKeys = evictOldKeys;
        restart(0);
        restart(1);
    }

    void step() {
        int choice = random.nextInt(102);
        if (choice < 22) {
            submitRandomClaim();
        } else if (choice < 44) {
            executeRandomCall();
        } else if (choice < 66) {
            deliverRandomReply();
        } else if (choice < 80) {
            advanceMillis(random.nextInt(60));
        } else if (choice < 86) {
            submitFollowUp();
        } else if (choice < 89) {
            paused[random.nextInt(2)] ^= true;
        } else if (choice < 92) {
            serviceDown = !serviceDown && random.nextInt(3) == 0;
        } else if (choice < 94) {
            // Log values become old enough to be compacted and deleted.
            advanceMillis(PartitionOwner.MIN_COMPACTION_AGE_MILLIS + 600_000L * random.nextInt(2));
        } else if (choice < 96) {
            restart(random.nextInt(2));
        } else if (choice < 100) {
            int node = random.nextInt(2);
            perform(node, nodes[node].setOwner(random.nextBoolean(), now()));
        } else {
            pauseUntilCompaction(random.nextInt(2));
        }
    }

    // Pauses one node, perhaps with a call open, while the other one works until it has deleted log values.
    private void pauseUntilCompaction(int pausedNode) {
        int other = 1 - pausedNode;
        serviceDown = false;
        paused[pausedNode] = true;
        paused[other] = false;
        perform(other, nodes[other].setOwner(true, now()));
        submit(other, new PartitionRequest.Claim(key(random.nextInt(KEY_COUNT)), "f", "t" + ++lastNumber));
        runSteps(50);
        advanceMillis(PartitionOwner.MIN_COMPACTION_AGE_MILLIS + 600_000);
        runSteps(100);
        if (random.nextBoolean()) {
            submit(other, new PartitionRequest.Claim(key(random.nextInt(KEY_COUNT)), "f", "t" + ++lastNumber));
            runSteps(50);
        }
        paused[pausedNode] = false;
        paused[other] = random.nextBoolean();
    }

    /** Ends all faults, repeats every key and returns how many of these calls were answered. */
    int recoverAndRepeatAllKeys() {
        serviceDown = false;
        paused[0] = false;
        paused[1] = false;
        perform(0, nodes[0].setOwner(true, now()));
        perform(1, nodes[1].setOwner(false, now()));
        runSteps(1_500);
        int before = answered;
        for (int key = 0; key < KEY_COUNT; key++) {
            submit(0, new PartitionRequest.Claim(key(key), "f", "t" + ++lastNumber));
        }
        runSteps(1_500);
        return answered - before;
    }

    private void runSteps(int steps) {
        for (int i = 0; i < steps; i++) {
            executeRandomCall();
            deliverRandomReply();
            advanceMillis(20);
        }
    }

    private void restart(int node) {
        incarnations[node]++;
        startedMillis[node] = nowMillis;
        nodes[node] = new PartitionOwner(0, SETTINGS, "n" + node + "." + incarnations[node]);
        perform(node, nodes[node].setOwner(true, now()));
    }

    private ClaimTime now() {
        return new ClaimTime(nowMillis, nowMillis);
    }

    private ClaimKey key(int key) {
        long window = evictOldKeys
                ? SETTINGS.windows().current(10_000_000)
                : SETTINGS.windows().current(nowMillis);
        return new ClaimKey(new TeamId("team"), window, "k" + key);
    }

    private void submitRandomClaim() {
        int node = random.nextInt(2);
        if (!paused[node]) {
            submit(node, new PartitionRequest.Claim(key(random.nextInt(KEY_COUNT)), "f", "t" + ++lastNumber));
        }
    }

    private void submitFollowUp() {
        PartitionRequest request = followUps.poll();
        int node = random.nextInt(2);
        if (request == null || paused[node]) {
            return;
        }
        if (random.nextInt(4) > 0) {
            submit(node, request);
        }
    }

    private void submit(int node, PartitionRequest request) {
        long id = ++lastNumber;
        boolean ranBefore = grantedKeys.contains(request.key().hashCode());
        submitted.put(id, new SubmittedRequest(node, incarnations[node], request, ranBefore));
        perform(node, nodes[node].submit(id, request, now()));
    }

    private void advanceMillis(long millis) {
        nowMillis += millis;
        for (int node = 0; node < 2; node++) {
            if (paused[node]) {
                continue;
            }
            if (millis > 2_000) {
                nodes[node].onPause(now());
            }
            perform(node, nodes[node].tick(now()));
        }
    }

    private void perform(int node, List<PartitionEffect> effects) {
        for (PartitionEffect effect : effects) {
            if (effect instanceof PartitionEffect.Call call) {
                openCalls[node] = ++lastNumber;
                boolean lose = random.nextInt(8) == 0;
                inService.add(new ServiceCall(node, incarnations[node], openCalls[node], call.call(), lose));
            } else if (effect instanceof PartitionEffect.Answer answer) {
                checkOutcome(submitted.remove(answer.requestId()), answer.outcome());
            } else if (effect instanceof PartitionEffect.AskFleet ask) {
                int other = 1 - node;
                boolean knows = nowMillis - startedMillis[other] > ask.confirmedAgeMillis();
                OptionalLong highest = paused[other] || !knows
                        ? OptionalLong.empty()
                        : OptionalLong.of(nodes[other].highestSequence());
                perform(node, nodes[node].onFleetAnswer(highest, now()));
            }
        }
    }

    private void executeRandomCall() {
        if (inService.isEmpty()) {
            return;
        }
        ServiceCall open = inService.remove(random.nextInt(inService.size()));
        if (serviceDown) {
            boolean neverSent = random.nextBoolean();
            reply(open, new PlatformReply.Failed(neverSent || !(open.call() instanceof PlatformCall.CreateLog)));
            if (!neverSent) {
                // The call takes effect after the node has been told that it failed.
                inService.add(new ServiceCall(-1, 0, 0, open.call(), true));
            }
            return;
        }
        PlatformReply reply = executeCall(open.call());
        reply(open, open.loseReply() ? new PlatformReply.Failed(false) : reply);
    }

    private void reply(ServiceCall open, PlatformReply reply) {
        if (open.node() >= 0) {
            replies.add(new Reply(open.node(), open.incarnation(), open.callNumber(), reply));
        }
    }

    private PlatformReply executeCall(PlatformCall call) {
        if (call instanceof PlatformCall.ReadHead) {
            return new PlatformReply.HeadRead(headVersion, head);
        }
        if (call instanceof PlatformCall.ReadSegments read) {
            return new PlatformReply.SegmentsRead(read.keys().stream()
                    .map(key -> Optional.ofNullable(segments.get(key)))
                    .toList());
        }
        if (call instanceof PlatformCall.ListLog list) {
            return new PlatformReply.LogListed(log.tailMap(list.fromSequence()).keySet().stream()
                    .limit(list.limit())
                    .toList());
        }
        if (call instanceof PlatformCall.ReadLog read) {
            return new PlatformReply.LogRead(read.sequences().stream()
                    .map(sequence -> Optional.ofNullable(log.get(sequence)))
                    .toList());
        }
        return new PlatformReply.Written(write(call));
    }

    private boolean write(PlatformCall call) {
        if (call instanceof PlatformCall.CreateLog create) {
            return log.putIfAbsent(create.sequence(), create.batch()) == null;
        }
        if (call instanceof PlatformCall.CreateSegment create) {
            return segments.putIfAbsent(create.key(), create.value()) == null;
        }
        if (call instanceof PlatformCall.SwapHead swap) {
            if (swap.version() != headVersion) {
                return false;
            }
            head = swap.head();
            headVersion++;
            return true;
        }
        PlatformCall.Delete delete = (PlatformCall.Delete) call;
        delete.sequences().forEach(log::remove);
        delete.segmentKeys().forEach(segments::remove);
        return true;
    }

    private void deliverRandomReply() {
        if (replies.isEmpty()) {
            return;
        }
        Reply reply = replies.get(random.nextInt(replies.size()));
        int node = reply.node();
        if (paused[node]) {
            return;
        }
        replies.remove(reply);
        if (reply.incarnation() == incarnations[node] && reply.callNumber() == openCalls[node]) {
            perform(node, nodes[node].onReply(reply.reply(), now()));
        }
    }

    private void checkOutcome(SubmittedRequest call, ClaimOutcome outcome) {
        if (call == null || call.incarnation() != incarnations[call.node()]) {
            return;
        }
        answered++;
        int key = call.request().key().hashCode();
        history.add(nowMillis + " node " + call.node() + " " + call.request() + " " + outcome.kind());
        if (outcome.kind() == Kind.GRANTED) {
            require(runsByKey.merge(key, 1, Integer::sum) == 1, "the request was granted a second run");
            grantedKeys.add(key);
            sendOrCrash(call);
        }
        if (outcome.kind() == Kind.REFUSED) {
            require(!call.ranBefore(), "a request that was granted before was refused as not run");
        }
        if (outcome.kind() == Kind.FINISHED) {
            String text = new String(outcome.answer().body());
            String first = firstAnswers.putIfAbsent(key, text);
            require(first == null || first.equals(text), "the answer differs from the first one");
            require(grantedKeys.contains(key), "an answer was returned for a request that was never granted");
        }
    }

    // The granted node records an answer, crashes before it can, or finds that it certainly did not send the request.
    private void sendOrCrash(SubmittedRequest call) {
        int fate = random.nextInt(10);
        if (fate < 7) {
            StoredAnswer answer =
                    StoredAnswer.of(200, "text/plain", ("ran " + call.request().token()).getBytes());
            followUps.add(new PartitionRequest.Finish(
                    call.request().key(), call.request().token(), answer));
        } else if (fate < 8) {
            int key = call.request().key().hashCode();
            runsByKey.remove(key);
            grantedKeys.remove(key);
            followUps.add(new PartitionRequest.Release(
                    call.request().key(), call.request().token()));
        }
    }

    private void require(boolean condition, String fault) {
        if (!condition) {
            throw new AssertionError(fault + "\n" + String.join("\n", history));
        }
    }
}
