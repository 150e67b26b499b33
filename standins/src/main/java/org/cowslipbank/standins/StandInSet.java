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

/** All running stand-ins of one deployment: platform, engines, stores and plain services. */
public final class StandInSet implements AutoCloseable {
    private final ScheduledExecutorService stepExecutor =
            Executors.newScheduledThreadPool(2, StandInSet::newStepThread);
    private final KeyValueStandIn keyValue;
    private final VmListStandIn vmList;
    private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
    private final Map<String, StoreStandIn> stores = new LinkedHashMap<>();
    private final Map<String, ServiceStandIn> services = new LinkedHashMap<>();

    /**
     * Starts all stand-ins and publishes them in the VM list.
     *
     * @param settings the stand-ins to start
     */
    public StandInSet(StandInSettings settings) {
        String host = settings.host();
        keyValue = new KeyValueStandIn(host, settings.keyValuePort());
        vmList = new VmListStandIn(host, settings.vmListPort(), settings.vmListLagMillis());
        for (StandInSettings.EngineVm engine : settings.engines()) {
            ModelRef loaded = new ModelRef(engine.model(), engine.weightVersion(), "");
            engines.put(engine.vm(), new EngineStandIn(host, engine.port(), engine.size(), loaded, stepExecutor));
        }
        for (StandInSettings.StoreVm store : settings.stores()) {
            stores.put(store.vm(), new StoreStandIn(new StoreId(store.vm()), host, store.port(), store.size()));
        }
        for (StandInSettings.ServiceVm service : settings.services()) {
            services.put(service.vm(), new ServiceStandIn(host, service.port()));
        }
        vmList.publish(createVmEntries(settings));
    }

    private static Thread newStepThread(Runnable work) {
        Thread thread = new Thread(work, "engine-steps");
        thread.setDaemon(true);
        return thread;
    }

    private List<VmEntry> createVmEntries(StandInSettings settings) {
        List<VmEntry> entries = new ArrayList<>();
        for (StandInSettings.EntryVm vm : settings.entryVms()) {
            entries.add(newEntry(vm.vm(), VmKind.ENTRY, vm.dataCentre(), vm.peerAddress()));
        }
        for (StandInSettings.EngineVm vm : settings.engines()) {
            entries.add(newEntry(
                    vm.vm(),
                    VmKind.ENGINE,
                    vm.dataCentre(),
                    engines.get(vm.vm()).address()));
        }
        for (StandInSettings.StoreVm vm : settings.stores()) {
            entries.add(newEntry(
                    vm.vm(), VmKind.STORE, vm.dataCentre(), stores.get(vm.vm()).address()));
        }
        for (StandInSettings.ServiceVm vm : settings.services()) {
            entries.add(newEntry(
                    vm.vm(),
                    VmKind.SERVICE,
                    vm.dataCentre(),
                    services.get(vm.vm()).address()));
        }
        return entries;
    }

    private static VmEntry newEntry(String vm, VmKind kind, String dataCentre, String address) {
        return new VmEntry(new VmId(vm), kind, new DataCentreId(dataCentre), address, false);
    }

    /**
     * Returns the stand-in for the key-value service.
     *
     * @return the stand-in
     */
    public KeyValueStandIn keyValue() {
        return keyValue;
    }

    /**
     * Returns the stand-in for the VM list.
     *
     * @return the stand-in
     */
    public VmListStandIn vmList() {
        return vmList;
    }

    /**
     * Returns the engine stand-ins.
     *
     * @return stand-ins by VM name, in the order of the settings
     */
    public Map<String, EngineStandIn> engines() {
        return engines;
    }

    /**
     * Returns the store stand-ins.
     *
     * @return stand-ins by VM name, in the order of the settings
     */
    public Map<String, StoreStandIn> stores() {
        return stores;
    }

    /**
     * Returns the stand-ins for plain services.
     *
     * @return stand-ins by VM name, in the order of the settings
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
        stepExecutor.shutdownNow();
    }
}
