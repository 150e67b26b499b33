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
 * Two nodes that both may believe to own one partition, a key-value service with faults, and callers that repeat their
 * calls. Every call of the service takes effect at a random later step and its reply arrives later still, or never.
 */
final class ClaimWorld {
    private static final int KEYS = 3;
    private static final ClaimSettings SETTINGS =
            new ClaimSettings(new ClaimWindows(1_000_000, 2), 1, 30, 500, 5_000, 200);

    private record Open(int node, int incarnation, long callNumber, PlatformCall call, boolean loseReply) {}

    private record Reply(int node, int incarnation, long callNumber, PlatformReply reply) {}

    private record Call(int node, int incarnation, PartitionRequest request, boolean ranBefore) {}

    private final Random random;
    private final TreeMap<Long, ClaimBatch> log = new TreeMap<>();
    private final Map<String, SegmentValue> segments = new HashMap<>();
    private final List<Open> inService = new ArrayList<>();
    private final List<Reply> replies = new ArrayList<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private final Queue<PartitionRequest> unfinished = new ArrayDeque<>();
    private final PartitionOwner[] nodes = new PartitionOwner[2];
    private final int[] incarnations = new int[2];
    private final long[] openCall = new long[2];
    private final boolean[] paused = new boolean[2];
    private final long[] startedMillis = new long[2];
    private final Set<Integer> granted = new HashSet<>();
    private final Map<Integer, String> firstAnswers = new HashMap<>();
    private final Map<Integer, Integer> runs = new HashMap<>();
    private final List<String> history = new ArrayList<>();
    private final boolean evictOldKeys;

    private PartitionHead head = PartitionHead.EMPTY;
    private long headVersion;
    private boolean down;
    private long nowMillis = 10_000_000;
    private long numbers;
    int answered;

    ClaimWorld(long seed, boolean evictOldKeys) {
        this.random = new Random(seed);
        this.evictOldKeys = evictOldKeys;
        start(0);
        start(1);
    }

    void step() {
        int choice = random.nextInt(102);
        if (choice < 22) {
            claim();
        } else if (choice < 44) {
            serve();
        } else if (choice < 66) {
            deliver();
        } else if (choice < 80) {
            pass(random.nextInt(60));
        } else if (choice < 86) {
            finishOne();
        } else if (choice < 89) {
            paused[random.nextInt(2)] ^= true;
        } else if (choice < 92) {
            down = !down && random.nextInt(3) == 0;
        } else if (choice < 94) {
            // Longer than the age from which log values are deleted.
            pass(PartitionOwner.COMPACT_AGE_MILLIS + 600_000L * random.nextInt(2));
        } else if (choice < 96) {
            start(random.nextInt(2));
        } else if (choice < 100) {
            int node = random.nextInt(2);
            execute(node, nodes[node].owns(random.nextBoolean(), now()));
        } else {
            overtake(random.nextInt(2));
        }
    }

    // One node is paused, perhaps with a call open, while the other goes on until log values have been deleted.
    private void overtake(int sleeper) {
        int other = 1 - sleeper;
        down = false;
        paused[sleeper] = true;
        paused[other] = false;
        execute(other, nodes[other].owns(true, now()));
        submit(other, new PartitionRequest.Claim(key(random.nextInt(KEYS)), "f", "t" + ++numbers));
        drain(50);
        pass(PartitionOwner.COMPACT_AGE_MILLIS + 600_000);
        drain(100);
        if (random.nextBoolean()) {
            submit(other, new PartitionRequest.Claim(key(random.nextInt(KEYS)), "f", "t" + ++numbers));
            drain(50);
        }
        paused[sleeper] = false;
        paused[other] = random.nextBoolean();
    }

    /** Lets everything recover, repeats every key and returns how many keys got a final outcome. */
    int settle() {
        down = false;
        paused[0] = false;
        paused[1] = false;
        execute(0, nodes[0].owns(true, now()));
        execute(1, nodes[1].owns(false, now()));
        drain(1_500);
        int before = answered;
        for (int key = 0; key < KEYS; key++) {
            submit(0, new PartitionRequest.Claim(key(key), "f", "t" + ++numbers));
        }
        drain(1_500);
        return answered - before;
    }

    private void drain(int steps) {
        for (int i = 0; i < steps; i++) {
            serve();
            deliver();
            pass(20);
        }
    }

    private void start(int node) {
        incarnations[node]++;
        startedMillis[node] = nowMillis;
        nodes[node] = new PartitionOwner(0, SETTINGS, "n" + node + "." + incarnations[node]);
        execute(node, nodes[node].owns(true, now()));
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

    private void claim() {
        int node = random.nextInt(2);
        if (!paused[node]) {
            submit(node, new PartitionRequest.Claim(key(random.nextInt(KEYS)), "f", "t" + ++numbers));
        }
    }

    private void finishOne() {
        PartitionRequest request = unfinished.poll();
        int node = random.nextInt(2);
        if (request == null || paused[node]) {
            return;
        }
        if (random.nextInt(4) > 0) {
            submit(node, request);
        }
    }

    private void submit(int node, PartitionRequest request) {
        long id = ++numbers;
        boolean ranBefore = granted.contains(request.key().hashCode());
        calls.put(id, new Call(node, incarnations[node], request, ranBefore));
        execute(node, nodes[node].submit(id, request, now()));
    }

    private void pass(long millis) {
        nowMillis += millis;
        for (int node = 0; node < 2; node++) {
            if (paused[node]) {
                continue;
            }
            if (millis > 2_000) {
                nodes[node].paused(now());
            }
            execute(node, nodes[node].tick(now()));
        }
    }

    private void execute(int node, List<PartitionEffect> effects) {
        for (PartitionEffect effect : effects) {
            if (effect instanceof PartitionEffect.Call call) {
                openCall[node] = ++numbers;
                boolean lose = random.nextInt(8) == 0;
                inService.add(new Open(node, incarnations[node], openCall[node], call.call(), lose));
            } else if (effect instanceof PartitionEffect.Answer answer) {
                check(calls.remove(answer.requestId()), answer.outcome());
            } else if (effect instanceof PartitionEffect.AskFleet ask) {
                int other = 1 - node;
                boolean knows = nowMillis - startedMillis[other] > ask.confirmedAgeMillis();
                OptionalLong highest = paused[other] || !knows
                        ? OptionalLong.empty()
                        : OptionalLong.of(nodes[other].highestSequence());
                execute(node, nodes[node].fleetAnswered(highest, now()));
            }
        }
    }

    private void serve() {
        if (inService.isEmpty()) {
            return;
        }
        Open open = inService.remove(random.nextInt(inService.size()));
        if (down) {
            boolean neverSent = random.nextBoolean();
            reply(open, new PlatformReply.Failed(neverSent || !(open.call() instanceof PlatformCall.CreateLog)));
            if (!neverSent) {
                // The call is delayed and takes effect after its caller has given up on it.
                inService.add(new Open(-1, 0, 0, open.call(), true));
            }
            return;
        }
        PlatformReply reply = serve(open.call());
        reply(open, open.loseReply() ? new PlatformReply.Failed(false) : reply);
    }

    private void reply(Open open, PlatformReply reply) {
        if (open.node() >= 0) {
            replies.add(new Reply(open.node(), open.incarnation(), open.callNumber(), reply));
        }
    }

    private PlatformReply serve(PlatformCall call) {
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

    private void deliver() {
        if (replies.isEmpty()) {
            return;
        }
        Reply reply = replies.get(random.nextInt(replies.size()));
        int node = reply.node();
        if (paused[node]) {
            return;
        }
        replies.remove(reply);
        if (reply.incarnation() == incarnations[node] && reply.callNumber() == openCall[node]) {
            execute(node, nodes[node].replied(reply.reply(), now()));
        }
    }

    private void check(Call call, ClaimOutcome outcome) {
        if (call == null || call.incarnation() != incarnations[call.node()]) {
            return;
        }
        answered++;
        int key = call.request().key().hashCode();
        history.add(nowMillis + " node " + call.node() + " " + call.request() + " " + outcome.kind());
        if (outcome.kind() == Kind.GRANTED) {
            require(runs.merge(key, 1, Integer::sum) == 1, "a second run");
            granted.add(key);
            sendOrDie(call);
        }
        if (outcome.kind() == Kind.REFUSED) {
            require(!call.ranBefore(), "a false not run");
        }
        if (outcome.kind() == Kind.FINISHED) {
            String text = new String(outcome.answer().body());
            String first = firstAnswers.putIfAbsent(key, text);
            require(first == null || first.equals(text), "another answer than the first");
            require(granted.contains(key), "an answer without a run");
        }
    }

    // The granted node answers, dies before it can record the answer, or finds that it certainly did not send.
    private void sendOrDie(Call call) {
        int fate = random.nextInt(10);
        if (fate < 7) {
            StoredAnswer answer =
                    StoredAnswer.of(200, "text/plain", ("ran " + call.request().token()).getBytes());
            unfinished.add(new PartitionRequest.Finish(
                    call.request().key(), call.request().token(), answer));
        } else if (fate < 8) {
            int key = call.request().key().hashCode();
            runs.remove(key);
            granted.remove(key);
            unfinished.add(new PartitionRequest.Release(
                    call.request().key(), call.request().token()));
        }
    }

    private void require(boolean condition, String fault) {
        if (!condition) {
            throw new AssertionError(fault + "\n" + String.join("\n", history));
        }
    }
}
