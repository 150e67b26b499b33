package org.cowslipbank.entry.orders;

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
import org.cowslipbank.decision.orders.OrderTarget;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** Runs the controllers of the model groups that this node has the duty to control. */
public final class OrdersService {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final double WEIGHT_BYTES_UNKNOWN = 1;

    private final OrdersContext context;
    private final Predicate<String> duty;
    private final Map<String, ModelController> controllers = new HashMap<>();
    private Disposable ticking = () -> {};

    /**
     * Creates the service.
     *
     * @param context what controllers work with
     * @param duty tells whether this node has the duty to control a model's group; the lease decides in the end
     */
    public OrdersService(OrdersContext context, Predicate<String> duty) {
        this.context = context;
        this.duty = duty;
    }

    /** Starts to control. */
    public void start() {
        ticking = Flux.interval(TICK, context.control()).subscribe(tick -> tick());
    }

    /** Stops to control; leases lapse by themselves. */
    public void stop() {
        ticking.dispose();
    }

    private void tick() {
        ConfigurationIndex index = context.configuration().get();
        List<Model> models = index.configuration().models();
        controllers
                .keySet()
                .removeIf(name -> !duty.test(name) || index.model(name).isEmpty());
        for (Model model : models) {
            if (duty.test(model.name())) {
                controllers
                        .computeIfAbsent(model.name(), name -> new ModelController(name, context))
                        .tick(targets(index, model));
            }
        }
    }

    private static List<OrderTarget> targets(ConfigurationIndex index, Model model) {
        Optional<ModelVersion> active = ConfigurationIndex.activeVersion(model);
        if (active.isEmpty()) {
            return List.of();
        }
        ModelRef wanted = new ModelRef(model.name(), model.activeVersion(), "");
        List<OrderTarget> targets = new ArrayList<>();
        for (UpstreamId id : active.get().upstreams()) {
            index.upstream(id).ifPresent(upstream -> targets.add(target(upstream, wanted)));
        }
        return List.copyOf(targets);
    }

    private static OrderTarget target(Upstream upstream, ModelRef wanted) {
        boolean retire = upstream.state() == UpstreamState.LEAVING;
        return new OrderTarget(upstream.id(), upstream.dataCentre(), wanted, WEIGHT_BYTES_UNKNOWN, retire);
    }
}
