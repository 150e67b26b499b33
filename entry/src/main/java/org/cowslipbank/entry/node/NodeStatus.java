package org.cowslipbank.entry.node;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipbank.config.StoreVm;
import org.cowslipbank.config.Upstream;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.entry.traffic.StoreTable;
import org.cowslipbank.entry.traffic.UpstreamTable;

/** Builds the JSON status of a node for operators. */
final class NodeStatus {
    private final FleetMembership fleet;
    private final ConfigurationWiring configuration;
    private final UpstreamTable upstreams;
    private final StoreTable stores;
    private final MetricRegistry metrics;

    NodeStatus(
            FleetMembership fleet,
            ConfigurationWiring configuration,
            UpstreamTable upstreams,
            StoreTable stores,
            MetricRegistry metrics) {
        this.fleet = fleet;
        this.configuration = configuration;
        this.upstreams = upstreams;
        this.stores = stores;
        this.metrics = metrics;
    }

    ObjectNode toJson(String vm, boolean ready, boolean draining, int inProgress) {
        ObjectNode status = JsonNodeFactory.instance.objectNode();
        ConfigurationIndex index = configuration.index();
        status.put("vm", vm);
        status.put("ready", ready);
        status.put("draining", draining);
        status.put("in_progress", inProgress);
        status.put("revision", index.configuration().revision());
        status.put("configuration", configuration.servingState());
        addNodes(status.putArray("nodes"));
        index.configuration().upstreams().forEach(upstream -> addUpstream(status.withArray("upstreams"), upstream));
        index.configuration().stores().forEach(store -> addStore(status.withArray("stores"), store));
        ObjectNode counters = status.putObject("counters");
        metrics.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
        return status;
    }

    private void addNodes(ArrayNode nodes) {
        for (FleetNode node : fleet.service().snapshot().view().nodes()) {
            ObjectNode entry = nodes.addObject();
            entry.put("vm", node.node().vm().value());
            entry.put("data_centre", node.node().dataCentre().value());
            entry.put("address", node.node().callerAddress());
            entry.put("status", node.status().name());
            entry.put("leaving", node.leaving());
            entry.put("reachable", node.reachable());
        }
        fleet.service().snapshot().view().deadNodes().forEach(vm -> nodes.addObject()
                .put("vm", vm.value())
                .put("status", "DEAD"));
    }

    private void addUpstream(ArrayNode list, Upstream upstream) {
        ObjectNode entry = list.addObject();
        entry.put("id", upstream.id().value());
        entry.put("state", upstream.state().name());
        entry.put("leaving", fleet.leavingUpstreams().contains(upstream.id()));
        entry.put("in_flight_here", upstreams.inFlight(upstream.id()));
        upstreams.lastLoadReport(upstream.id()).ifPresent(load -> entry.put("running", load.running())
                .put("waiting", load.waiting())
                .put("loaded", load.loaded().model() + "@" + load.loaded().weightVersion())
                .put("loading", load.loading()));
    }

    private void addStore(ArrayNode list, StoreVm store) {
        ObjectNode entry = list.addObject();
        entry.put("id", store.id().value());
        entry.put("link_bytes_per_second", Math.round(stores.bytesPerSecond(store)));
        entry.put("answers", stores.isUp(store));
    }
}
