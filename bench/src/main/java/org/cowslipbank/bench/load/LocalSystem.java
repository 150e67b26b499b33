package org.cowslipbank.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.cowslipbank.adapters.HttpExternalSystems;
import org.cowslipbank.bench.LoopbackPorts;
import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ConfigurationPrinter;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.config.Model;
import org.cowslipbank.config.ModelVersion;
import org.cowslipbank.config.StoreVm;
import org.cowslipbank.config.Team;
import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.config.Upstream;
import org.cowslipbank.config.UpstreamKind;
import org.cowslipbank.config.UpstreamState;
import org.cowslipbank.entry.node.Node;
import org.cowslipbank.entry.node.NodeSecrets;
import org.cowslipbank.entry.settings.ListenSettings;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.standins.EngineSize;
import org.cowslipbank.standins.EngineStandIn;
import org.cowslipbank.standins.KeyValueStandIn;
import org.cowslipbank.standins.StoreSize;
import org.cowslipbank.standins.StoreStandIn;
import org.cowslipbank.standins.VmListStandIn;

/** Runs one node with engine and store stand-ins on loopback. */
final class LocalSystem implements AutoCloseable {
    static final ModelRef MODEL = new ModelRef("review", "v1", "");
    static final List<LoadSettings.LoadTeam> TEAMS = List.of(
            new LoadSettings.LoadTeam("joinery", "key-joinery"),
            new LoadSettings.LoadTeam("timber-yard", "key-timber-yard"),
            new LoadSettings.LoadTeam("design", "key-design"));

    private static final DataCentreId DATA_CENTRE = new DataCentreId("mu-west-1");
    private static final int ENGINE_STEP_THREADS = 4;
    private static final int UNREACHED_TEAM_LIMIT = 1_000_000;

    private final ScheduledExecutorService engineSteps = Executors.newScheduledThreadPool(ENGINE_STEP_THREADS);
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<StoreStandIn> stores = new ArrayList<>();
    private final KeyValueStandIn keyValue;
    private final VmListStandIn vmList;
    private final HttpExternalSystems outsideSystems;
    private final Node node;

    /**
     * Starts the system.
     *
     * @param engineCount number of engines; their batch steps are staggered over the length of one step
     * @param size size of each engine
     * @param storeSizes size of each store
     */
    LocalSystem(int engineCount, EngineSize size, List<StoreSize> storeSizes)
            throws InterruptedException, IOException, ConfigurationException {
        for (int i = 0; i < engineCount; i++) {
            engines.add(new EngineStandIn("127.0.0.1", 0, size, MODEL, engineSteps));
            Thread.sleep(Math.max(1, size.stepMillis() / engineCount));
        }
        for (StoreSize storeSize : storeSizes) {
            stores.add(new StoreStandIn(storeId(stores.size()), "127.0.0.1", 0, storeSize));
        }
        keyValue = new KeyValueStandIn(LoopbackPorts.HOST, 0);
        vmList = new VmListStandIn(LoopbackPorts.HOST, 0, 0);
        outsideSystems = new HttpExternalSystems(keyValue.address(), vmList.address(), this::storeAddress);
        Path file = Files.createTempFile("load", ".json");
        Files.writeString(file, ConfigurationPrinter.print(configuration(storeSizes)));
        node = new Node(settings(file), outsideSystems, new NodeSecrets(new byte[16], Map.of()));
        node.start();
        Files.delete(file);
    }

    String nodeAddress() {
        return node.callerAddress();
    }

    List<String> engineAddresses() {
        return engines.stream().map(EngineStandIn::address).toList();
    }

    List<EngineStandIn> engines() {
        return engines;
    }

    @Override
    public void close() {
        node.close();
        outsideSystems.close();
        keyValue.close();
        vmList.close();
        engines.forEach(EngineStandIn::close);
        stores.forEach(StoreStandIn::close);
        engineSteps.shutdownNow();
    }

    private static StoreId storeId(int index) {
        return new StoreId("store-" + (index + 1));
    }

    private String storeAddress(StoreId id) {
        for (int i = 0; i < stores.size(); i++) {
            if (storeId(i).equals(id)) {
                return stores.get(i).address();
            }
        }
        throw new IllegalArgumentException("no stand-in for store " + id);
    }

    private Configuration configuration(List<StoreSize> storeSizes) {
        List<Team> teams = TEAMS.stream()
                .map(team -> new Team(
                        new TeamId(team.name()),
                        List.of(Configurations.keySha256(team.bearerKey())),
                        new TeamLimits(UNREACHED_TEAM_LIMIT, UNREACHED_TEAM_LIMIT, UNREACHED_TEAM_LIMIT, 1),
                        List.of(MODEL.model()),
                        List.of(),
                        "mu-west"))
                .toList();
        List<Upstream> upstreams = new ArrayList<>();
        for (EngineStandIn engine : engines) {
            upstreams.add(new Upstream(
                    new UpstreamId("engine-" + (upstreams.size() + 1)),
                    UpstreamKind.ENGINE,
                    DATA_CENTRE,
                    engine.address(),
                    UpstreamState.ACTIVE,
                    true));
        }
        List<StoreVm> storeVms = new ArrayList<>();
        for (StoreSize size : storeSizes) {
            int index = storeVms.size();
            storeVms.add(
                    new StoreVm(storeId(index), DATA_CENTRE, stores.get(index).address(), size.linkBytesPerSecond()));
        }
        ModelVersion version = new ModelVersion(
                MODEL.weightVersion(),
                List.of(),
                upstreams.stream().map(Upstream::id).toList());
        return new Configuration(
                1,
                teams,
                List.of(new Model(MODEL.model(), MODEL.weightVersion(), List.of(version))),
                List.of(),
                upstreams,
                storeVms,
                new DecisionWeights(1, 0.2, 0.1));
    }

    private static NodeSettings settings(Path configurationFile) throws IOException {
        return new NodeSettings(
                "entry-1",
                DATA_CENTRE.value(),
                "mu-west",
                List.of(),
                LoopbackPorts.freeListener(),
                new ListenSettings(LoopbackPorts.HOST, 0),
                LoopbackPorts.freeListener(),
                null,
                List.of(),
                null,
                null,
                0,
                0L,
                Map.of(),
                configurationFile.toString(),
                null,
                null,
                null);
    }
}
