package org.cowslipbank.bench.virtual;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cowslipbank.decision.streams.FailureKind;
import org.cowslipbank.decision.streams.StreamEvent;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/** A model of an engine. */
public final class SimEngine {
    private static final long HEARTBEAT_MILLIS = 300;

    /** How long a finished run can be resumed. */
    private static final long KEEP_MILLIS = 30_000;

    /** Tokens that an engine buffers for a connection that is not read. */
    private static final int LINK_BUFFER_TOKENS = 64;

    final UpstreamId id;
    final DataCentreId dataCentre;
    final Map<AttemptId, SimRun> runs = new HashMap<>();
    ModelRef loaded;
    boolean alive = true;
    boolean draining;
    boolean loading;
    boolean failing;
    int crashes;
    int running;
    private final World world;
    private final Deque<SimRun> waiting = new ArrayDeque<>();
    private long prefillFreeMillis;

    SimEngine(World world, UpstreamId id, DataCentreId dataCentre, ModelRef loaded) {
        this.world = world;
        this.id = id;
        this.dataCentre = dataCentre;
        this.loaded = loaded;
    }

    /**
     * Returns the engine's identifier.
     *
     * @return the identifier
     */
    public UpstreamId id() {
        return id;
    }

    /**
     * Returns how often the engine has crashed.
     *
     * @return the number of crashes
     */
    public int crashes() {
        return crashes;
    }

    /**
     * Tells whether the engine takes no new runs.
     *
     * @return true while it drains
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Returns what is loaded.
     *
     * @return the model, weight version and adapter
     */
    public ModelRef loaded() {
        return loaded;
    }

    /** Makes the engine fail every run shortly after it began, without going down as a whole. */
    public void failEveryRun() {
        failing = true;
    }

    int inFlight() {
        return running + waiting.size();
    }

    int waiting() {
        return waiting.size();
    }

    void generate(SimRun run) {
        if (!alive) {
            run.link.fail(FailureKind.NOT_REACHED);
            return;
        }
        if (draining || loading) {
            run.link.fail(FailureKind.REFUSED);
            return;
        }
        runs.put(run.attempt, run);
        heartbeat(run);
        if (running < world.options.slots()) {
            begin(run);
        } else {
            waiting.addLast(run);
        }
    }

    void resume(AttemptId attempt, int fromToken, SimLink link) {
        if (!alive) {
            link.fail(FailureKind.NOT_REACHED);
            return;
        }
        SimRun run = runs.get(attempt);
        if (run == null) {
            link.fail(FailureKind.UNKNOWN_ATTEMPT);
            return;
        }
        run.link = link;
        if (!run.begun) {
            return;
        }
        run.sendStarted();
        for (int index = fromToken; index < run.produced; index++) {
            run.sendToken(index);
        }
        if (run.finished) {
            run.sendFinished();
        }
    }

    void cancel(AttemptId attempt) {
        SimRun run = runs.remove(attempt);
        if (run != null) {
            release(run);
        }
    }

    /**
     * Ends all runs; the engine is up again later.
     *
     * @param silently true if the connections stay open and carry nothing
     */
    public void crash(boolean silently) {
        if (!alive) {
            return;
        }
        alive = false;
        crashes++;
        endAll(silently ? null : FailureKind.BROKEN);
        world.clock.after(world.options.restartMillis(), () -> alive = true);
    }

    /** Takes the engine down for good. */
    public void retire() {
        world.interrupted += runs.values().stream().filter(run -> !run.finished).count();
        alive = false;
        endAll(FailureKind.BROKEN);
    }

    /**
     * Changes role, or loads weights and then changes role.
     *
     * @param target what to have
     * @param drain true to take no new runs
     */
    public void order(ModelRef target, boolean drain) {
        draining = drain;
        if (target.equals(loaded) || loading || !alive) {
            return;
        }
        loading = true;
        world.loadStarted(dataCentre);
        if (world.options.swapAborts()) {
            endAll(FailureKind.RUN_ABORTED);
        }
        world.clock.after(World.LOAD_MILLIS, () -> {
            world.loadEnded(dataCentre);
            loading = false;
            loaded = target;
        });
    }

    private void endAll(FailureKind kind) {
        for (SimRun run : List.copyOf(runs.values())) {
            if (kind != null) {
                run.link.fail(kind);
            }
            run.ended = true;
        }
        runs.clear();
        waiting.clear();
        running = 0;
    }

    private void begin(SimRun run) {
        running++;
        run.begun = true;
        run.ran = loaded;
        run.caller.ranInTruth = true;
        long startMillis = world.clock.nowMillis();
        if (world.options.serialPrefill()) {
            startMillis = Math.max(startMillis, prefillFreeMillis);
            prefillFreeMillis = startMillis + world.options.prefillMillis();
        }
        run.sendStarted();
        long firstMillis = startMillis + world.options.prefillMillis();
        world.clock.after(firstMillis - world.clock.nowMillis(), () -> step(run));
    }

    private void step(SimRun run) {
        if (run.ended || run.finished) {
            return;
        }
        if (run.produced == run.caller.request.crashAtToken()) {
            world.crashedByRequest++;
            crash(false);
            return;
        }
        if (failing) {
            run.link.fail(FailureKind.RUN_ABORTED);
            runs.remove(run.attempt);
            release(run);
            return;
        }
        if (run.link.held() >= LINK_BUFFER_TOKENS) {
            world.clock.after(world.options.tokenMillis(), () -> step(run));
            return;
        }
        if (run.produced < run.caller.request.tokens()) {
            run.produced++;
            run.sendToken(run.produced - 1);
        }
        if (run.produced < run.caller.request.tokens()) {
            world.clock.after(world.options.tokenMillis(), () -> step(run));
            return;
        }
        run.finished = true;
        run.sendFinished();
        leaveSlot();
        world.clock.after(KEEP_MILLIS, () -> runs.remove(run.attempt, run));
    }

    private void heartbeat(SimRun run) {
        world.clock.after(HEARTBEAT_MILLIS, () -> {
            if (!run.ended && !run.finished) {
                run.link.send(new StreamEvent.Heartbeat(run.attempt, run.link.connection));
                heartbeat(run);
            }
        });
    }

    private void release(SimRun run) {
        boolean heldSlot = run.begun && !run.finished && !run.ended;
        run.ended = true;
        if (!run.begun) {
            waiting.remove(run);
        }
        if (heldSlot) {
            leaveSlot();
        }
    }

    private void leaveSlot() {
        running--;
        List<SimRun> next = new ArrayList<>();
        while (running + next.size() < world.options.slots() && !waiting.isEmpty()) {
            next.add(waiting.removeFirst());
        }
        next.forEach(this::begin);
    }
}
