package org.cowslipbank.standins;

import java.util.List;

/**
 * Settings of a set of stand-ins.
 *
 * @param host IP address that all stand-ins listen on
 * @param keyValuePort port of the key-value service, zero for any
 * @param vmListPort port of the VM list, zero for any
 * @param vmListLagMillis delay until readers see a change of the VM list, in milliseconds
 * @param entryVms entry VMs in the VM list
 * @param engines the engines
 * @param stores the stores
 * @param services the plain services
 */
public record StandInSettings(
        String host,
        int keyValuePort,
        int vmListPort,
        long vmListLagMillis,
        List<EntryVm> entryVms,
        List<EngineVm> engines,
        List<StoreVm> stores,
        List<ServiceVm> services) {
    /** Copies the lists; a missing list becomes empty. */
    public StandInSettings {
        entryVms = entryVms == null ? List.of() : List.copyOf(entryVms);
        engines = engines == null ? List.of() : List.copyOf(engines);
        stores = stores == null ? List.of() : List.copyOf(stores);
        services = services == null ? List.of() : List.copyOf(services);
    }

    /**
     * An entry VM in the VM list.
     *
     * @param vm name of the VM
     * @param dataCentre data centre of the VM
     * @param peerAddress address of its peer listener as {@code IP:port}
     */
    public record EntryVm(String vm, String dataCentre, String peerAddress) {}

    /**
     * An engine.
     *
     * @param vm name of the VM
     * @param dataCentre data centre of the VM
     * @param port port to listen on, zero for any
     * @param model the model loaded at the start
     * @param weightVersion the weight version loaded at the start
     * @param size speed and capacity
     */
    public record EngineVm(
            String vm, String dataCentre, int port, String model, String weightVersion, EngineSize size) {}

    /**
     * A store.
     *
     * @param vm name of the VM
     * @param dataCentre data centre of the VM
     * @param port port to listen on, zero for any
     * @param size capacities and link rate
     */
    public record StoreVm(String vm, String dataCentre, int port, StoreSize size) {}

    /**
     * An instance of a plain service.
     *
     * @param vm name of the VM
     * @param dataCentre data centre of the VM
     * @param port port to listen on, zero for any
     */
    public record ServiceVm(String vm, String dataCentre, int port) {}
}
