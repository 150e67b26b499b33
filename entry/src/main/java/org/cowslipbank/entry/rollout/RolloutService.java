package org.cowslipbank.entry.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.cowslipbank.config.Model;
import org.cowslipbank.config.ModelVersion;
import org.cowslipbank.config.Upstream;
import org.cowslipbank.config.UpstreamState;
import org.cowslipbank.decision.rollout.EngineTarget;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** Runs the controllers of the model groups whose control is assigned to this node. */
public final class RolloutService {
    private static final Duration TICK_PERIOD = Duration.ofMillis(250);
    private static final double UNKNOWN_WEIGHT_BYTES = 1;

    private final RolloutContext context;
    private final Predicate<String> assignedHere;
    private final Map<String, ModelController> controllers = new HashMap<>();
    private Disposable tickTimer = () -> {};

    /**
     * Creates the service.
     *
     * @param context dependencies of the controllers
     * @param assignedHere tests whether the control of a model's group is assigned to this node; nodes may disagree, so
     *     only the holder of the group's lease sends commands
     */
    public RolloutService(RolloutContext context, Predicate<String> assignedHere) {
        this.context = context;
        this.assignedHere = assignedHere;
    }

    /** Starts the periodic control of the model groups. */
    public void start() {
        tickTimer = Flux.interval(TICK_PERIOD, context.control()).subscribe(tick -> tick());
    }

    /** Stops the control; the leases are not released and expire. */
    public void stop() {
        tickTimer.dispose();
    }

    private void tick() {
        ConfigurationIndex index = context.configuration().get();
        List<Model> models = index.configuration().models();
        controllers
                .keySet()
                .removeIf(name -> !assignedHere.test(name) || index.model(name).isEmpty());
        for (Model model : models) {
            if (assignedHere.test(model.name())) {
                controllers
                        .computeIfAbsent(model.name(), name -> new ModelController(name, context))
                        .tick(targets(index, model));
            }
        }
    }

    private static List<EngineTarget> targets(ConfigurationIndex index, Model model) {
        Optional<ModelVersion> active = ConfigurationIndex.activeVersion(model);
        if (active.isEmpty()) {
            return List.of();
        }
        ModelRef wanted = new ModelRef(model.name(), model.activeVersion(), "");
        List<EngineTarget> targets = new ArrayList<>();
        for (UpstreamId id : active.get().upstreams()) {
            index.upstream(id).ifPresent(upstream -> targets.add(target(upstream, wanted)));
        }
        return List.copyOf(targets);
    }

    private static EngineTarget target(Upstream upstream, ModelRef wanted) {
        boolean retire = upstream.state() == UpstreamState.LEAVING;
        return new EngineTarget(upstream.id(), upstream.dataCentre(), wanted, UNKNOWN_WEIGHT_BYTES, retire);
    }
}
