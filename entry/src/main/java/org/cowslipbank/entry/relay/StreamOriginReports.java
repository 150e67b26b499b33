package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.cowslipbank.decision.relay.ReportedVersions;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.MetadataStore;

/**
 * Reports to all nodes, through the metadata store, at which software version this node's streams begin, while a service
 * has several. The reports outlive the node, so that its clients can take their streams up also if all nodes are lost. A
 * client gets nothing of a stream while the store may hold a report that names another version, since nobody might replace it.
 * State is confined to the control thread, but for what is thread-safe.
 */
final class StreamOriginReports {
    /** Shortest interval of reports; engines take about as long from a request to its first event. */
    static final long MIN_INTERVAL_MILLIS = 200;

    /** Interval per registered node, so that a large fleet stays within half of the store's 400 writes a second. */
    static final long INTERVAL_MILLIS_PER_NODE = 5;

    private final ControlContext context;
    private final StreamOrigins origins;
    private final ReportedVersions reported;
    private final Set<Runnable> acknowledgementListeners = ConcurrentHashMap.newKeySet();
    private final ReportLease lease;
    private long number;
    private boolean writing;
    private boolean dueAfterWrite;

    StreamOriginReports(ControlContext context, StreamOrigins origins, ReportedVersions reported) {
        this.context = context;
        this.origins = origins;
        this.reported = reported;
        this.lease = new ReportLease(context, 2 * StreamOrigins.STREAM_LIFE_MILLIS);
    }

    void start() {
        scheduleNext();
    }

    /**
     * Records that a request is sent whose stream may begin. May be called by any thread.
     *
     * @param service the service
     * @param request identifier of the client's request
     * @param server the engine to which it is sent
     */
    void onSent(String service, String request, UpstreamServer server) {
        long nowMillis = context.clocks().nowMillis();
        if (origins.evidence(request, nowMillis).filter(known -> !known.own()).isPresent()) {
            reported.onPassedOn(request, nowMillis);
        }
        if (origins.onSent(service, request, server.softwareVersion(), server.id(), nowMillis)) {
            context.log()
                    .logRequest(LogFields.event("request moved to another software version; replacing its report")
                            .field("request", request)
                            .peer(server.address())
                            .field("server", server.id())
                            .field("softwareVersion", server.softwareVersion()));
            // At once, so that the earlier report is replaced before the first event.
            reportAtOnce();
        }
    }

    /**
     * Records that a request was passed to another node, which may have reported it, and which will not bring its first event.
     *
     * @param request identifier of the client's request
     */
    void onPassedOn(String request) {
        reported.onPassedOn(request, context.clocks().nowMillis());
    }

    /**
     * Returns whether the client may get events of a software version. May be called by any thread.
     *
     * @param request identifier of the client's request
     * @param softwareVersion the version
     * @return false while the store may hold a report of another version as the newest one
     */
    boolean allows(String request, String softwareVersion) {
        return reported.allows(request, softwareVersion);
    }

    /**
     * Returns whether the client may get an answer that has begun, and reports its version if it may not. May be called by any
     * thread.
     *
     * @param service the service
     * @param request identifier of the client's request
     * @param softwareVersion version of the engine that answers
     * @param serverId identifier of the engine, empty if another node sent to it
     * @return true if the client may get it at once, false if the store has to acknowledge a report before, which is being written
     */
    boolean mayBegin(String service, String request, String softwareVersion, String serverId) {
        if (reported.allows(request, softwareVersion)) {
            return true;
        }
        if (!reported.isLast(request, softwareVersion)) {
            origins.report(
                    service,
                    request,
                    softwareVersion,
                    serverId,
                    context.clocks().nowMillis());
            reportAtOnce();
        }
        return false;
    }

    /**
     * Adds a listener that is called by the control thread after each acknowledgement of a report.
     *
     * @param listener the listener
     * @return removes the listener
     */
    Runnable listen(Runnable listener) {
        acknowledgementListeners.add(listener);
        return () -> acknowledgementListeners.remove(listener);
    }

    private void reportAtOnce() {
        context.control().schedule(new GuardedTask("stream origins", this::report, context.log()));
    }

    private void scheduleNext() {
        long intervalMillis = Math.max(
                MIN_INTERVAL_MILLIS,
                INTERVAL_MILLIS_PER_NODE * context.view().get().nodes().size());
        GuardedTask task = new GuardedTask("stream origins", this::report, context.log());
        context.control()
                .schedule(
                        () -> {
                            task.run();
                            scheduleNext();
                        },
                        intervalMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void report() {
        if (writing) {
            dueAfterWrite = true;
            return;
        }
        dueAfterWrite = false;
        long nowMillis = context.clocks().nowMillis();
        List<StreamOrigins.Report> reports = reported.take(() -> origins.takeUnreported(nowMillis), nowMillis);
        if (!reports.isEmpty()) {
            write(reports);
        }
    }

    private void write(List<StreamOrigins.Report> reports) {
        writing = true;
        long sentMillis = context.clocks().nowMillis();
        lease.renewIfDue();
        byte[] value = NodeItems.encodeOrigins(reports);
        lease.id()
                .flatMap(id -> context.store()
                        .write(new MetadataStore.Write(
                                context.items().originsKey(context.self().name(), id, number++), value, id)))
                .publishOn(context.control())
                .doFinally(signal -> onWritten())
                .subscribe(
                        revision -> {
                            if (revision.isEmpty()) {
                                repeat(LogFields.event("lease of stream origins has ended; reporting again"));
                                return;
                            }
                            logReported(reports, revision.get(), sentMillis);
                            reported.onAcknowledged(reports);
                            acknowledgementListeners.forEach(Runnable::run);
                        },
                        error -> repeat(LogFields.event("stream origins not reported; reporting again")
                                .error(error)));
    }

    private void logReported(List<StreamOrigins.Report> reports, long revision, long sentMillis) {
        context.log()
                .logRequest(LogFields.event("stream origins reported")
                        .field("revision", revision)
                        .field(
                                "requests",
                                reports.stream()
                                        .mapToInt(report -> report.requests().size())
                                        .sum())
                        .field("tookMillis", context.clocks().nowMillis() - sentMillis));
    }

    private void onWritten() {
        writing = false;
        if (dueAfterWrite) {
            report();
        }
    }

    private void repeat(LogFields line) {
        context.log().logState(line);
        lease.discard();
        origins.reportAgain();
    }
}
