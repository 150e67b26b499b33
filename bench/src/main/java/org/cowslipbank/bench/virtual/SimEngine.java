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

/** Models an engine: it batches runs in slots and emits tokens at a fixed interval. */
public final class SimEngine {
    private static final long HEARTBEAT_MILLIS = 300;

    /** How long the tokens of a finished run stay available to a resume. */
    private static final long FINISHED_RUN_RETENTION_MILLIS = 30_000;

    /** Events that an engine buffers for a paused connection before the run stalls. */
    private static final int MAX_BUFFERED_EVENTS = 64;

    final UpstreamId id;
    final DataCentreId dataCentre;
    final Map<AttemptId, SimRun> runs = new HashMap<>();
    ModelRef loaded;
    boolean alive = true;
    boolean draining;
    boolean loading;
    boolean failsEveryRun;
    int crashes;
    int running;
    private final SimulatedDeployment deployment;
    private final Deque<SimRun> waiting = new ArrayDeque<>();
    private long prefillFreeAtMillis;

    SimEngine(SimulatedDeployment deployment, UpstreamId id, DataCentreId dataCentre, ModelRef loaded) {
        this.deployment = deployment;
        this.id = id;
        this.dataCentre = dataCentre;
        this.loaded = loaded;
    }

    /**
     * Returns the engine's identifier.
     *
     * @return the upstream identifier
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
     * Checks whether the engine rejects new runs.
     *
     * @return true while it drains
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Returns the model version whose weights are loaded.
     *
     * @return the model, weight version and adapter
     */
    public ModelRef loaded() {
        return loaded;
    }

    /** Makes the engine abort every run at its next token while the process stays up. */
    public void failEveryRun() {
        failsEveryRun = true;
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
        scheduleHeartbeat(run);
        if (running < deployment.options.slots()) {
            startRun(run);
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
        if (!run.started) {
            return;
        }
        run.sendStarted();
        for (int index = fromToken; index < run.producedTokens; index++) {
            run.sendToken(index);
        }
        if (run.finished) {
            run.sendFinished();
        }
    }

    void cancel(AttemptId attempt) {
        SimRun run = runs.remove(attempt);
        if (run != null) {
            stopRun(run);
        }
    }

    /**
     * Crashes the engine, which ends all runs; it restarts after {@link DeploymentOptions#restartMillis()}.
     *
     * @param silently true if connections stay open and deliver nothing, false if they break
     */
    public void crash(boolean silently) {
        if (!alive) {
            return;
        }
        alive = false;
        crashes++;
        abortAllRuns(silently ? null : FailureKind.BROKEN);
        deployment.clock.after(deployment.options.restartMillis(), () -> alive = true);
    }

    /** Shuts the engine down permanently and breaks the runs in flight. */
    public void retire() {
        deployment.interrupted +=
                runs.values().stream().filter(run -> !run.finished).count();
        alive = false;
        abortAllRuns(FailureKind.BROKEN);
    }

    /**
     * Changes the role at once and, if the target is not loaded, starts to load its weights.
     *
     * @param target the model, weight version and adapter to load
     * @param drain true to reject new runs
     */
    public void order(ModelRef target, boolean drain) {
        draining = drain;
        if (target.equals(loaded) || loading || !alive) {
            return;
        }
        loading = true;
        deployment.loadStarted(dataCentre);
        if (deployment.options.swapAborts()) {
            abortAllRuns(FailureKind.RUN_ABORTED);
        }
        deployment.clock.after(SimulatedDeployment.LOAD_MILLIS, () -> {
            deployment.loadEnded(dataCentre);
            loading = false;
            loaded = target;
        });
    }

    private void abortAllRuns(FailureKind kind) {
        for (SimRun run : List.copyOf(runs.values())) {
            if (kind != null) {
                run.link.fail(kind);
            }
            run.aborted = true;
        }
        runs.clear();
        waiting.clear();
        running = 0;
    }

    private void startRun(SimRun run) {
        running++;
        run.started = true;
        run.model = loaded;
        run.caller.ranAtEngine = true;
        long startMillis = deployment.clock.nowMillis();
        if (deployment.options.serialPrefill()) {
            startMillis = Math.max(startMillis, prefillFreeAtMillis);
            prefillFreeAtMillis = startMillis + deployment.options.prefillMillis();
        }
        run.sendStarted();
        long firstTokenMillis = startMillis + deployment.options.prefillMillis();
        deployment.clock.after(firstTokenMillis - deployment.clock.nowMillis(), () -> produceNextToken(run));
    }

    private void produceNextToken(SimRun run) {
        if (run.aborted || run.finished) {
            return;
        }
        if (run.producedTokens == run.caller.request.crashAtToken()) {
            deployment.crashedByRequest++;
            crash(false);
            return;
        }
        if (failsEveryRun) {
            run.link.fail(FailureKind.RUN_ABORTED);
            runs.remove(run.attempt);
            stopRun(run);
            return;
        }
        if (run.link.bufferedEvents() >= MAX_BUFFERED_EVENTS) {
            deployment.clock.after(deployment.options.tokenMillis(), () -> produceNextToken(run));
            return;
        }
        if (run.producedTokens < run.caller.request.tokens()) {
            run.producedTokens++;
            run.sendToken(run.producedTokens - 1);
        }
        if (run.producedTokens < run.caller.request.tokens()) {
            deployment.clock.after(deployment.options.tokenMillis(), () -> produceNextToken(run));
            return;
        }
        run.finished = true;
        run.sendFinished();
        freeSlot();
        deployment.clock.after(FINISHED_RUN_RETENTION_MILLIS, () -> runs.remove(run.attempt, run));
    }

    private void scheduleHeartbeat(SimRun run) {
        deployment.clock.after(HEARTBEAT_MILLIS, () -> {
            if (!run.aborted && !run.finished) {
                run.link.send(new StreamEvent.Heartbeat(run.attempt, run.link.connection));
                scheduleHeartbeat(run);
            }
        });
    }

    private void stopRun(SimRun run) {
        boolean occupiedSlot = run.started && !run.finished && !run.aborted;
        run.aborted = true;
        if (!run.started) {
            waiting.remove(run);
        }
        if (occupiedSlot) {
            freeSlot();
        }
    }

    private void freeSlot() {
        running--;
        List<SimRun> next = new ArrayList<>();
        while (running + next.size() < deployment.options.slots() && !waiting.isEmpty()) {
            next.add(waiting.removeFirst());
        }
        next.forEach(this::startRun);
    }
}
