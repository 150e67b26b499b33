package org.cowslipbank.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.VmEntry;
import org.cowslipbank.ports.VmKind;

/** A running set of stand-ins: the platform, engines, stores and plain services of one deployment. */
public final class StandInSet implements AutoCloseable {
    private final ScheduledExecutorService steps = Executors.newScheduledThreadPool(2, StandInSet::stepThread);
    private final KeyValueStandIn keyValue;
    private final VmListStandIn vmList;
    private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
    private final Map<String, StoreStandIn> stores = new LinkedHashMap<>();
    private final Map<String, ServiceStandIn> services = new LinkedHashMap<>();

    /**
     * Starts the stand-ins.
     *
     * @param settings what to start
     */
    public StandInSet(StandInSettings settings) {
        String host = settings.host();
        keyValue = new KeyValueStandIn(host, settings.keyValuePort());
        vmList = new VmListStandIn(host, settings.vmListPort(), settings.vmListLagMillis());
        for (StandInSettings.EngineVm engine : settings.engines()) {
            ModelRef loaded = new ModelRef(engine.model(), engine.weightVersion(), "");
            engines.put(engine.vm(), new EngineStandIn(host, engine.port(), engine.size(), loaded, steps));
        }
        for (StandInSettings.StoreVm store : settings.stores()) {
            stores.put(store.vm(), new StoreStandIn(new StoreId(store.vm()), host, store.port(), store.size()));
        }
        for (StandInSettings.ServiceVm service : settings.services()) {
            services.put(service.vm(), new ServiceStandIn(host, service.port()));
        }
        vmList.publish(vmEntries(settings));
    }

    private static Thread stepThread(Runnable work) {
        Thread thread = new Thread(work, "engine-steps");
        thread.setDaemon(true);
        return thread;
    }

    private List<VmEntry> vmEntries(StandInSettings settings) {
        List<VmEntry> entries = new ArrayList<>();
        for (StandInSettings.EntryVm vm : settings.entryVms()) {
            entries.add(entry(vm.vm(), VmKind.ENTRY, vm.dataCentre(), vm.peerAddress()));
        }
        for (StandInSettings.EngineVm vm : settings.engines()) {
            entries.add(entry(
                    vm.vm(),
                    VmKind.ENGINE,
                    vm.dataCentre(),
                    engines.get(vm.vm()).address()));
        }
        for (StandInSettings.StoreVm vm : settings.stores()) {
            entries.add(entry(
                    vm.vm(), VmKind.STORE, vm.dataCentre(), stores.get(vm.vm()).address()));
        }
        for (StandInSettings.ServiceVm vm : settings.services()) {
            entries.add(entry(
                    vm.vm(),
                    VmKind.SERVICE,
                    vm.dataCentre(),
                    services.get(vm.vm()).address()));
        }
        return entries;
    }

    private static VmEntry entry(String vm, VmKind kind, String dataCentre, String address) {
        return new VmEntry(new VmId(vm), kind, new DataCentreId(dataCentre), address, false);
    }

    /**
     * Returns the key-value service.
     *
     * @return the stand-in
     */
    public KeyValueStandIn keyValue() {
        return keyValue;
    }

    /**
     * Returns the VM list.
     *
     * @return the stand-in
     */
    public VmListStandIn vmList() {
        return vmList;
    }

    /**
     * Returns the engines.
     *
     * @return stand-ins by name, in the order of the settings
     */
    public Map<String, EngineStandIn> engines() {
        return engines;
    }

    /**
     * Returns the stores.
     *
     * @return stand-ins by name, in the order of the settings
     */
    public Map<String, StoreStandIn> stores() {
        return stores;
    }

    /**
     * Returns the plain services.
     *
     * @return stand-ins by name, in the order of the settings
     */
    public Map<String, ServiceStandIn> services() {
        return services;
    }

    @Override
    public void close() {
        engines.values().forEach(EngineStandIn::close);
        stores.values().forEach(StoreStandIn::close);
        services.values().forEach(ServiceStandIn::close);
        vmList.close();
        keyValue.close();
        steps.shutdownNow();
    }
}
