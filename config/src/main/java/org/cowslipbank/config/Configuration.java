package org.cowslipbank.config;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.cowslipbank.model.DataCentreId;

/**
 * The operators' configuration at one revision. Immutable; a node replaces it as a whole.
 *
 * @param revision the revision, counted from one; zero before the first change
 * @param teams the teams
 * @param models the models with their versions
 * @param services the plain services
 * @param upstreams the engines and plain-service instances
 * @param stores the store VMs
 * @param weights weights of the terms of the routing cost
 */
public record Configuration(
        long revision,
        List<Team> teams,
        List<Model> models,
        List<Service> services,
        List<Upstream> upstreams,
        List<StoreVm> stores,
        DecisionWeights weights) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public Configuration {
        teams = List.copyOf(teams);
        models = List.copyOf(models);
        services = List.copyOf(services);
        upstreams = List.copyOf(upstreams);
        stores = List.copyOf(stores);
    }

    /**
     * Returns the data centres that the configuration names. A change is accepted only while all of them are reachable.
     *
     * @return the data centres of all upstreams and stores, in order
     */
    public Set<DataCentreId> dataCentres() {
        Set<DataCentreId> dataCentres = new TreeSet<>();
        upstreams.forEach(upstream -> dataCentres.add(upstream.dataCentre()));
        stores.forEach(store -> dataCentres.add(store.dataCentre()));
        return dataCentres;
    }
}
