package org.cowslipbank.entry.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ConfigurationEdit;
import org.cowslipbank.config.ConfigurationParser;
import org.cowslipbank.decision.configuration.ChangeMetadata;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.entry.configuration.ChangeOutcome;
import org.cowslipbank.entry.configuration.ChangeRequest;
import org.cowslipbank.entry.configuration.ConfigurationNode;
import org.cowslipbank.entry.configuration.ConfigurationService;
import org.cowslipbank.entry.configuration.ConfigurationStores;
import org.cowslipbank.entry.configuration.RevisionReport;
import org.cowslipbank.entry.fleet.FleetListener;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.FleetDigest;
import org.cowslipbank.peer.PeerAddress;
import org.cowslipbank.peer.PeerIdentity;
import org.cowslipbank.peer.RequestKind;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Connects the configuration service to the fleet and gives traffic threads an index of the configuration. */
final class ConfigurationWiring implements FleetListener {
    private static final Logger LOG = LogManager.getLogger(ConfigurationWiring.class);
    private static final ObjectMapper MAPPER = new MessagePackMapper();
    private static final TypeReference<Map<String, byte[]>> VALUES_BY_KEY = new TypeReference<>() {};
    private static final TypeReference<List<String>> KEYS = new TypeReference<>() {};
    private static final long FETCH_TIMEOUT_MILLIS = 1_000;
    private static final long REPORT_TIMEOUT_MILLIS = 500;
    private static final Duration REPORT_POLL_PERIOD = Duration.ofMillis(200);
    private static final Duration REVISION_PUBLISH_PERIOD = Duration.ofMillis(500);
    private static final Duration FIRST_CONFIGURATION_TIMEOUT = Duration.ofSeconds(10);
    private static final long FIRST_CONFIGURATION_CHECK_MILLIS = 50;
    // An acknowledgement answers a probe that was sent at most this long before it arrived.
    private static final long MAX_PROBE_AGE_MILLIS = 1_000;

    private final NodeSettings settings;
    private final FleetMembership fleet;
    private final Scheduler scheduler;
    private final ConfigurationService service;
    private volatile ConfigurationIndex index;
    private Disposable revisionPublishing = () -> {};

    ConfigurationWiring(NodeSettings settings, FleetMembership fleet, ConfigurationStores stores, Scheduler scheduler) {
        this.settings = settings;
        this.fleet = fleet;
        this.scheduler = scheduler;
        VmId self = new VmId(settings.vm());
        this.service = new ConfigurationService(
                new ConfigurationNode(
                        self,
                        new DataCentreId(settings.dataCentre()),
                        seedDataCentres(settings),
                        ConfigurationNode.SMALL_FLEET_STALENESS_BOUND_MILLIS),
                stores,
                this::fetchValues,
                scheduler,
                settings.vm().hashCode() ^ System.nanoTime());
        this.index = new ConfigurationIndex(service.current());
        fleet.service().addListener(this);
        fleet.transport().onRequest(RequestKind.CONFIGURATION_SHARD, (from, body) -> serveValues(body));
        fleet.transport()
                .onRequest(
                        RequestKind.CONFIGURATION_ROOT,
                        (from, body) -> Mono.fromSupplier(() -> encode(Report.of(service.report()))));
    }

    ConfigurationService service() {
        return service;
    }

    /** Returns the configuration in force, indexed. Any thread may call this. */
    ConfigurationIndex index() {
        Configuration current = service.current();
        ConfigurationIndex latest = index;
        if (latest.configuration() != current) {
            latest = new ConfigurationIndex(current);
            index = latest;
        }
        return latest;
    }

    boolean mayServe() {
        return service.mayServe(scheduler.now(TimeUnit.MILLISECONDS));
    }

    String servingState() {
        return service.serving(scheduler.now(TimeUnit.MILLISECONDS)).name();
    }

    /**
     * Starts the service and waits up to 10 seconds for a first configuration. A node without one answers address
     * look-ups only.
     */
    void start() throws ConfigurationException {
        service.start();
        revisionPublishing = Flux.interval(REVISION_PUBLISH_PERIOD, scheduler).subscribe(tick -> publishRevision());
        waitForRevision(0);
        if (settings.configurationFile() != null && service.current().revision() == 0) {
            applyFirstConfiguration(Path.of(settings.configurationFile()));
        }
    }

    void stop() {
        revisionPublishing.dispose();
        service.close();
    }

    /** Makes a change. While it runs, one node of each other data centre is polled for its revision. */
    Mono<ChangeOutcome> change(ChangeRequest request) {
        return Mono.defer(() -> {
            Disposable polling = Flux.interval(REPORT_POLL_PERIOD, scheduler)
                    .subscribe(tick -> pollDataCentres().subscribe());
            return pollDataCentres().then(service.change(request)).doFinally(signal -> polling.dispose());
        });
    }

    @Override
    public void onAcknowledged(PeerIdentity peer, FleetDigest digest) {
        long askedAtMillis = scheduler.now(TimeUnit.MILLISECONDS) - MAX_PROBE_AGE_MILLIS;
        service.recordProbeReply(
                new RevisionReport(peer.vm(), peer.dataCentre(), digest.revision(), digest.confirmedAgeMillis()),
                askedAtMillis);
    }

    @Override
    public void onNewerRevision(long revision, PeerAddress peer) {
        service.recordUnsolicitedReport(
                new RevisionReport(peer.vm(), new DataCentreId(settings.dataCentre()), revision, -1));
    }

    private static Set<DataCentreId> seedDataCentres(NodeSettings settings) {
        Set<DataCentreId> dataCentres = new HashSet<>();
        settings.seeds().forEach(seed -> dataCentres.add(new DataCentreId(seed.dataCentre())));
        dataCentres.add(new DataCentreId(settings.dataCentre()));
        return dataCentres;
    }

    private void publishRevision() {
        RevisionReport report = service.report();
        long confirmedAtMillis =
                report.confirmedAgeMillis() < 0 ? -1 : fleet.service().nowMillis() - report.confirmedAgeMillis();
        fleet.service().reportRevision(report.revision(), confirmedAtMillis);
    }

    private Mono<Void> pollDataCentres() {
        List<FleetNode> nodes =
                new ArrayList<>(fleet.service().snapshot().view().nodes());
        Collections.shuffle(nodes);
        Set<DataCentreId> polled = new HashSet<>(Set.of(new DataCentreId(settings.dataCentre())));
        return Flux.fromIterable(nodes)
                .filter(node -> polled.add(node.node().dataCentre()))
                .flatMap(node ->
                        pollReport(new PeerAddress(node.node().vm(), node.node().address())))
                .then();
    }

    private Mono<Void> pollReport(PeerAddress peer) {
        return Mono.defer(() -> {
                    long askedAtMillis = scheduler.now(TimeUnit.MILLISECONDS);
                    return fleet.transport()
                            .request(peer, RequestKind.CONFIGURATION_ROOT, new byte[0], REPORT_TIMEOUT_MILLIS)
                            .doOnNext(bytes -> receiveReport(bytes, askedAtMillis));
                })
                .onErrorComplete()
                .then();
    }

    private void receiveReport(byte[] bytes, long askedAtMillis) {
        try {
            service.recordProbeReply(MAPPER.readValue(bytes, Report.class).toReport(), askedAtMillis);
        } catch (IOException e) {
            LOG.warn(LogFields.event("cannot decode configuration revision report")
                    .step(ProcessingStep.PEER)
                    .error(e));
        }
    }

    private Mono<Map<String, byte[]>> fetchValues(VmId peer, List<String> keys) {
        Optional<PeerAddress> address = fleet.addressOf(peer);
        if (address.isEmpty()) {
            return Mono.just(Map.of());
        }
        return fleet.transport()
                .request(address.get(), RequestKind.CONFIGURATION_SHARD, encode(keys), FETCH_TIMEOUT_MILLIS)
                .flatMap(bytes -> decode(bytes, VALUES_BY_KEY));
    }

    private Mono<byte[]> serveValues(byte[] body) {
        return decode(body, KEYS).flatMap(service::storedValues).map(ConfigurationWiring::encode);
    }

    private void waitForRevision(long revision) {
        long untilNanos = System.nanoTime() + FIRST_CONFIGURATION_TIMEOUT.toNanos();
        while (!(mayServe() && service.current().revision() >= revision) && System.nanoTime() < untilNanos) {
            pauseBeforeNextCheck();
        }
    }

    private static void pauseBeforeNextCheck() {
        try {
            Thread.sleep(FIRST_CONFIGURATION_CHECK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void applyFirstConfiguration(Path file) throws ConfigurationException {
        Configuration first;
        try {
            first = ConfigurationParser.parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new ConfigurationException(
                    file.toString(), 0, "$", "cannot read the configuration file: " + e.getMessage());
        }
        // Several nodes may start with the same file: the first to write it wins, and the others find revision 1.
        ChangeMetadata metadata = new ChangeMetadata(
                "first-" + settings.vm(),
                settings.vm(),
                "first configuration from the settings",
                System.currentTimeMillis(),
                seedDataCentres(settings).stream().map(DataCentreId::value).toList());
        ChangeOutcome outcome = service.change(new ChangeRequest(metadata, 0, ConfigurationEdit.replace(first)))
                .block(FIRST_CONFIGURATION_TIMEOUT);
        LOG.info(LogFields.event("first configuration")
                .step(ProcessingStep.CONFIGURE)
                .field("outcome", outcome == null ? "none" : outcome.kind()));
        // Until revision 1 is applied, the empty revision 0 has no engines and the node would refuse its first calls.
        waitForRevision(1);
    }

    private static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode a configuration message", e);
        }
    }

    private static <T> Mono<T> decode(byte[] bytes, TypeReference<T> type) {
        try {
            return Mono.just(MAPPER.readValue(bytes, type));
        } catch (IOException e) {
            return Mono.error(new PeerException(
                    ProcessingStep.CONFIGURE, "", RunState.NOT_RUN, "unreadable message of a peer", e));
        }
    }

    /** Wire form of a {@link RevisionReport}. */
    private record Report(String vm, String dataCentre, long revision, long confirmedAgeMillis) {
        static Report of(RevisionReport report) {
            return new Report(
                    report.node().value(), report.dataCentre().value(), report.revision(), report.confirmedAgeMillis());
        }

        RevisionReport toReport() {
            return new RevisionReport(new VmId(vm), new DataCentreId(dataCentre), revision, confirmedAgeMillis);
        }
    }
}
