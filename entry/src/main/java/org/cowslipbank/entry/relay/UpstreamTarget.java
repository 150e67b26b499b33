package org.cowslipbank.entry.relay;

import java.util.Optional;
import java.util.OptionalLong;

import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.decision.relay.UpstreamLoads.Outcome;
import org.cowslipbank.decision.relay.UpstreamSelector;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.PromptShape;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.AnswerHead;
import org.cowslipbank.ports.relay.Header;
import org.cowslipbank.ports.relay.RelayRequest;

/** An attempt's target that is an upstream: keeps its load, its notices and the reports on where streams begin. */
final class UpstreamTarget implements AttemptTarget {
    private final RelayContext context;
    private final RequestPlacement placement;
    private final RelayRequest request;
    private final Route route;
    private final UpstreamSelector.Choice choice;
    private final UpstreamServer server;
    private final int unreadTokens;
    private final int tokens;
    private final boolean inPause;
    private OptionalLong expectedVersion = OptionalLong.empty();
    private boolean promptRead;
    private long placedMillis;
    private boolean coldPermit;

    UpstreamTarget(
            RelayContext context,
            RequestPlacement placement,
            RelayRequest request,
            Route route,
            UpstreamSelector.Choice choice) {
        this.context = context;
        this.placement = placement;
        this.request = request;
        this.route = route;
        this.choice = choice;
        this.server = choice.server();
        this.unreadTokens = choice.unreadTokens();
        this.tokens = request.prompt().map(PromptShape::promptTokens).orElse(0);
        this.inPause =
                context.notices().pauseEndMillis(server.incarnation(), now()).isPresent();
    }

    @Override
    public Optional<UpstreamServer> upstream() {
        return Optional.of(server);
    }

    @Override
    public UpstreamConnectionPool connections() {
        return context.connections();
    }

    @Override
    public String address() {
        return server.address();
    }

    @Override
    public void onStarted() {
        long silenceMillis = placement.targetsEngines()
                ? UpstreamLoads.SILENCE_LIMIT_MILLIS
                : UpstreamLoads.plainSilenceLimitMillis(route.latencyObjectiveMillis());
        context.loads().onSent(server.incarnation(), tokens, unreadTokens, silenceMillis, now());
        coldPermit = context.notices().cold().isCold(server.incarnation(), now());
        context.notices().onSent(server.incarnation(), now());
        placedMillis = now();
        placement.locations(context.view().get()).ifPresent(locations -> {
            locations.onPlaced(server);
            context.metrics().onPromptPlaced(choice, locations.sharedTokens());
        });
    }

    @Override
    public Optional<String> heldBack() {
        PlatformView view = context.view().get();
        if (view.evacuated().contains(server.dataCentre())) {
            return Optional.of("upstream's data centre is evacuated");
        }
        UpstreamServer registered = view.servers().get(server.id());
        if (registered != null && !registered.incarnation().equals(server.incarnation())) {
            return Optional.of("upstream has started again, perhaps with another software version");
        }
        if (!inPause && context.notices().isHeldBack(server.incarnation(), now())) {
            return Optional.of("upstream leaves or wants a pause");
        }
        context.notices().cold().apply(view.cold(), now());
        return coldPermit || context.notices().cold().takeIfCold(server.incarnation(), now())
                ? Optional.empty()
                : Optional.of("upstream is cold");
    }

    @Override
    public Iterable<Header> encode(long leftMillis, Optional<String> resumeAfter) {
        expectedVersion = placement.versionOf(server);
        if (route.resumable() && placement.requiredSoftwareVersion().isEmpty()) {
            context.originReports().onSent(placement.service(), request.id(), server);
        }
        return context.codec().encodeRequest(request, placement.planSend(server, leftMillis, resumeAfter));
    }

    @Override
    public boolean isSilent() {
        long lastReadMillis = context.turns().lastReadMillis();
        return context.loads().isSilent(server.incarnation(), lastReadMillis)
                && !placement.isSilentWithOthers(context.view().get(), server, lastReadMillis);
    }

    @Override
    public boolean isTooOldToBegin() {
        return placement.isTooOldToBegin(context.view().get(), server);
    }

    @Override
    public void onBytesReceived() {
        context.loads().onBytesReceived(server.incarnation(), now());
        context.notices().cold().onBytesReceived(server.incarnation());
        context.reachability().onData(now());
    }

    @Override
    public void onHead(AnswerHead head, long sentMillis) {
        context.noticeRecorder().record(server, head, sentMillis);
        head.weightVersion().ifPresent(version -> context.loads().onVersion(server.incarnation(), version));
    }

    @Override
    public void onRejected(AnswerHead head) {
        boolean sameServer = head.serverId().isEmpty() || head.serverId().equals(server.id());
        if (head.status() == 421 && sameServer && expectedVersion.isPresent()) {
            recordLoadedVersion(head);
        }
    }

    // The engine has loaded other weights than its registration says; that is updated within a second.
    private void recordLoadedVersion(AnswerHead head) {
        if (head.weightVersion().isPresent()) {
            return;
        }
        placement
                .namedVersions(context.view().get())
                .map(names -> names.nextAfter(expectedVersion.getAsLong()))
                .ifPresent(next -> next.ifPresent(version -> context.loads().onVersion(server.incarnation(), version)));
    }

    @Override
    public boolean breakIsFinal() {
        return false;
    }

    @Override
    public void onPromptRead() {
        if (!promptRead) {
            promptRead = true;
            context.loads().onPromptComputed(server.incarnation(), unreadTokens);
        }
    }

    @Override
    public void onEnded(Outcome outcome) {
        onPromptRead();
        context.loads().onEnded(server.incarnation(), tokens, outcome, now());
        context.notices().brittle().onEnded(server.incarnation(), outcome, now());
        if (outcome == Outcome.REJECTED || outcome == Outcome.UNREACHABLE) {
            placement.locations(context.view().get()).ifPresent(locations -> locations.onNotRun(server, placedMillis));
        }
        if (outcome == Outcome.SILENT) {
            // The trial request opens a connection: it is certainly not run if the upstream is dead.
            context.connections().closeIdle(server.address());
        }
    }

    @Override
    public Optional<String> softwareVersion() {
        return Optional.of(server.softwareVersion());
    }

    @Override
    public void describe(LogFields line) {
        line.peer(server.address())
                .field("server", server.id())
                .field("incarnation", server.incarnation())
                .field("softwareVersion", server.softwareVersion());
    }

    private long now() {
        return context.clocks().nowMillis();
    }
}
