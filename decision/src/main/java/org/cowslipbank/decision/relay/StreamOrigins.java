package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cowslipbank.decision.relay.SoftwareVersions.Version;

/**
 * The software version at which each stream began. What two versions write does not fit together and no engine checks it,
 * so a stream that broke off may go on only at its version.
 *
 * <p>Load pattern: two versions serve side by side, some or all nodes are lost, and clients take their streams up at nodes
 * that did not carry them. While a service has one version, and had no other one for the life of a stream, every stream
 * began there and nothing is exchanged. Otherwise each node reports where its requests are sent, so that the report is
 * usually known before the first event, and a stream without a report may not go on. A node whose view is behind may know
 * of one version only although others do, so it has to ask the metadata store first. Thread-safe: used by the traffic thread
 * and the control thread.
 */
public final class StreamOrigins {
    /** Time after its begin for which a stream may be taken up; twice as long as clients wait for an answer. */
    public static final long STREAM_LIFE_MILLIS = 30_000;

    /** Version of streams of which no version can be stated with certainty; no upstream has it. */
    public static final String UNKNOWN_VERSION = "#unknown";

    /** Time from an engine's start within which its new registration is read, also by way of hubs or after a brief outage. */
    static final long REGISTRATION_MILLIS = 5_000;

    /** Longest identifier that is remembered; streams of requests with longer ones cannot be taken up at two versions. */
    static final int MAX_ID_LENGTH = 64;

    /** Streams that are remembered; the oldest are forgotten first. */
    static final int MAX_STREAMS = 40_000;

    private final String self;
    private final Map<String, Origin> originByRequest = new LinkedHashMap<>();
    private final SoftwareVersions versions = new SoftwareVersions();
    /** Versions of each service that this node has reported last. */
    private final Map<String, Set<String>> reportedByService = new HashMap<>();

    private final Set<String> unreported = new HashSet<>();
    private long uncertainUntilMillis = Long.MIN_VALUE;

    /**
     * Where and when a stream began, or is expected to begin.
     *
     * @param own what this node knows by itself, empty if it did not send the request
     * @param reported what other nodes report; without meaning for a stream that this node began
     */
    private record Origin(String service, long beganMillis, Optional<Own> own, ReportedVersion reported) {
        private boolean isBegun() {
            return own.filter(Own::begun).isPresent();
        }

        private String softwareVersion() {
            Optional<String> told = isBegun() ? Optional.empty() : reported.softwareVersion();
            Optional<String> known = own.map(Own::softwareVersion).or(() -> told);
            return known.filter(version -> told.isEmpty() || told.equals(known)).orElse(UNKNOWN_VERSION);
        }
    }

    /**
     * Where this node's stream began, or is expected to begin.
     *
     * @param softwareVersion the version
     * @param serverId identifier of the engine, empty if this node did not send to it
     * @param begun true if this node has given the first event to the client, so that no report can tell otherwise
     */
    private record Own(String softwareVersion, String serverId, boolean begun) {}

    /**
     * Streams that began at one software version, or are expected to.
     *
     * @param service the service
     * @param softwareVersion the version
     * @param requests identifiers of the requests that bring their first events; may be empty, so that the version itself is
     *     known
     */
    public record Report(String service, String softwareVersion, List<String> requests) {
        /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
        public Report {
            requests = List.copyOf(requests);
        }
    }

    /**
     * Creates origins without any stream.
     *
     * @param self name of this node in reports
     */
    public StreamOrigins(String self) {
        this.self = self;
    }

    /**
     * By what the version of a stream is known, for the log.
     *
     * @param softwareVersion the version
     * @param own true if this node sent the request
     * @param revision the store's revision of the report, zero if no report was read
     * @param ageMillis time in milliseconds since the send, or since the report was read
     */
    public record Evidence(String softwareVersion, boolean own, long revision, long ageMillis) {}

    /**
     * Returns the versions at which streams may have begun.
     *
     * @return the versions, which change as upstreams and records do
     */
    public SoftwareVersions versions() {
        return versions;
    }

    /**
     * Sets the versions of a service whose upstreams are registered.
     *
     * @param service the service
     * @param registered by version, a revision of the store since which upstreams of it have been registered
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onRegistered(String service, Map<String, Long> registered, long nowMillis) {
        if (versions.onRegistered(service, registered, nowMillis)) {
            reportAllIfMixed(service, nowMillis);
        }
    }

    /**
     * Records that the metadata store has a record of a version.
     *
     * @param version the version
     * @param revision the record's revision
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onRecorded(Version version, long revision, long nowMillis) {
        versions.onRecorded(version, revision, nowMillis);
        reportAllIfMixed(version.service(), nowMillis);
    }

    /**
     * Records that this node sends a request whose stream may begin. Without a second version nothing is recorded.
     *
     * @param service the service
     * @param request identifier of the client's request
     * @param softwareVersion version of the engine to which it is sent
     * @param serverId identifier of the engine
     * @param nowMillis the time in milliseconds
     * @return true if the request was sent to another version before, so that an earlier report on it must be replaced
     */
    public synchronized boolean onSent(
            String service, String request, String softwareVersion, String serverId, long nowMillis) {
        return isMixed(service, nowMillis)
                && addOwn(service, request, new Own(softwareVersion, serverId, false), nowMillis);
    }

    /**
     * Records a stream whose first event this node gives to its client.
     *
     * @param service the service
     * @param request identifier of the client's request
     * @param softwareVersion version of the engine that sent the first event
     * @param serverId identifier of the engine, empty if another node sent to it
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onBegun(
            String service, String request, String softwareVersion, String serverId, long nowMillis) {
        addOwn(service, request, new Own(softwareVersion, serverId, true), nowMillis);
    }

    /**
     * Records a stream that this node passes to the node that has sent it the request. Whether the client gets an event of it is
     * known there only: that node may have sent the request elsewhere meanwhile.
     *
     * @param service the service
     * @param request identifier of the client's request
     * @param softwareVersion version of the engine that answers
     * @param serverId identifier of the engine
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onPassedBack(
            String service, String request, String softwareVersion, String serverId, long nowMillis) {
        addOwn(service, request, new Own(softwareVersion, serverId, false), nowMillis);
    }

    /**
     * Records that a stream is taken up at this node, so that it may be taken up again for as long as after its begin.
     *
     * @param service the service
     * @param request identifier of the request that brought the stream's first event
     * @param softwareVersion version at which it goes on
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onTakenUp(String service, String request, String softwareVersion, long nowMillis) {
        Origin known = originByRequest.get(request);
        if (known != null && known.own().isEmpty()) {
            // A later report may still correct it, also at other nodes, so it is not told as an origin of this node.
            add(request, new Origin(known.service(), nowMillis, Optional.empty(), known.reported()));
            return;
        }
        if (request.length() > MAX_ID_LENGTH) {
            return;
        }
        versions.onUsed(new Version(service, softwareVersion), nowMillis);
        boolean begun = known != null && known.isBegun();
        Optional<Own> before = known == null ? Optional.empty() : known.own();
        // Kept, so that a restart of the engine which is noticed later still makes the version doubtful.
        String serverId = before.map(Own::serverId).orElse("");
        putOwn(service, request, new Own(softwareVersion, serverId, begun), nowMillis);
        tell(service, request, nowMillis);
    }

    /**
     * Records that an engine was started. Streams that began shortly before under its identifier may have begun at this start
     * already, so that the version of the earlier registration is not theirs.
     *
     * @param serverId the engine's identifier
     * @param softwareVersion its version
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onStarted(String serverId, String softwareVersion, long nowMillis) {
        for (Map.Entry<String, Origin> entry : originByRequest.entrySet()) {
            Origin origin = entry.getValue();
            boolean sentThere = origin.own()
                    .filter(own -> own.serverId().equals(serverId)
                            && !own.softwareVersion().equals(softwareVersion))
                    .isPresent();
            if (sentThere && nowMillis - origin.beganMillis() < REGISTRATION_MILLIS) {
                Own doubted =
                        new Own(UNKNOWN_VERSION, serverId, origin.own().get().begun());
                entry.setValue(
                        new Origin(origin.service(), origin.beganMillis(), Optional.of(doubted), origin.reported()));
                unreported.add(entry.getKey());
            }
        }
    }

    /** Returns whether the request was known to be at another version. */
    private boolean addOwn(String service, String request, Own own, long nowMillis) {
        Origin known = originByRequest.get(request);
        Optional<Own> before = known == null ? Optional.empty() : known.own();
        boolean told = before.filter(sent -> sent.softwareVersion().equals(own.softwareVersion()))
                .isPresent();
        if (request.length() > MAX_ID_LENGTH || told && (known.isBegun() || !own.begun())) {
            return false;
        }
        versions.onUsed(new Version(service, own.softwareVersion()), nowMillis);
        putOwn(service, request, own, nowMillis);
        if (!told) {
            tell(service, request, nowMillis);
        }
        return known != null && !known.softwareVersion().equals(own.softwareVersion());
    }

    private void putOwn(String service, String request, Own own, long nowMillis) {
        Origin known = originByRequest.get(request);
        ReportedVersion reported = known == null ? ReportedVersion.NONE : known.reported();
        add(request, new Origin(service, nowMillis, Optional.of(own), own.begun() ? ReportedVersion.NONE : reported));
    }

    private void tell(String service, String request, long nowMillis) {
        if (isMixed(service, nowMillis)) {
            unreported.add(request);
        }
    }

    /**
     * Records another node's report.
     *
     * @param report the report
     * @param source the report's node and order; the last report of a node on a request replaces its earlier ones
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onReport(Report report, ReportSource source, long nowMillis) {
        versions.onUsed(new Version(report.service(), report.softwareVersion()), nowMillis);
        for (String request : report.requests()) {
            if (request.length() <= MAX_ID_LENGTH) {
                addReported(request, report, source, nowMillis);
            }
        }
        reportAllIfMixed(report.service(), nowMillis);
    }

    private void addReported(String request, Report report, ReportSource source, long nowMillis) {
        Origin known = originByRequest.get(request);
        if (known == null) {
            ReportedVersion reported = ReportedVersion.NONE.with(source, report.softwareVersion());
            add(request, new Origin(report.service(), nowMillis, Optional.empty(), reported));
            return;
        }
        ReportedVersion reported = known.service().equals(report.service())
                ? known.reported().with(source, report.softwareVersion())
                : known.reported().contradicted();
        // What this node has sent itself, it knows better than what the store returns of it.
        boolean ownReport = known.own().isPresent() && source.node().equals(self);
        if (!known.isBegun() && !ownReport && reported != known.reported()) {
            add(request, new Origin(known.service(), nowMillis, known.own(), reported));
        }
    }

    private void add(String request, Origin origin) {
        // Removed first, so that the order is that of the times.
        originByRequest.remove(request);
        originByRequest.put(request, origin);
        var oldest = originByRequest.entrySet().iterator();
        while (oldest.hasNext()) {
            Origin first = oldest.next().getValue();
            boolean expired = origin.beganMillis() - first.beganMillis() >= STREAM_LIFE_MILLIS;
            if (!expired && originByRequest.size() <= MAX_STREAMS) {
                return;
            }
            oldest.remove();
        }
    }

    /** Reports the streams that began before another version was known. */
    private void reportAllIfMixed(String service, long nowMillis) {
        if (isMixed(service, nowMillis)
                && reportedByService.getOrDefault(service, Set.of()).size() <= 1) {
            originByRequest.forEach((request, origin) -> {
                if (origin.own().isPresent() && origin.service().equals(service)) {
                    unreported.add(request);
                }
            });
        }
    }

    private boolean isMixed(String service, long nowMillis) {
        return isUncertain(nowMillis) || versions.live(service, nowMillis).size() > 1;
    }

    /**
     * Returns the version at which a stream began, as far as it was carried by this node or reported.
     *
     * @param service the service
     * @param request identifier of the request that brought its first event, empty if not stated
     * @return the version, or empty if it is not known
     */
    public synchronized Optional<String> find(String service, String request) {
        return Optional.ofNullable(originByRequest.get(request))
                .filter(origin -> origin.service().equals(service))
                .map(Origin::softwareVersion);
    }

    /**
     * Returns by what the version of a stream is known.
     *
     * @param request identifier of the request that brought its first event
     * @param nowMillis the time in milliseconds
     * @return the evidence, or empty if this node neither carried the stream nor has a report on it
     */
    public synchronized Optional<Evidence> evidence(String request, long nowMillis) {
        return Optional.ofNullable(originByRequest.get(request))
                .map(origin -> new Evidence(
                        origin.softwareVersion(),
                        origin.own().isPresent(),
                        origin.reported().revision(),
                        nowMillis - origin.beganMillis()));
    }

    /**
     * Returns the versions of a service at which streams that can be taken up may have begun, for the log.
     *
     * @param service the service
     * @param nowMillis the time in milliseconds
     * @return the versions that are registered, recorded, or were seen within the life of a stream
     */
    public synchronized Set<String> liveVersions(String service, long nowMillis) {
        return versions.live(service, nowMillis);
    }

    /**
     * Returns whether a version stands for none that is known, so that a stream of it can go on nowhere.
     *
     * @param softwareVersion the version that {@link #find} has returned
     * @return true if no upstream has it
     */
    public static boolean isUnknown(String softwareVersion) {
        return softwareVersion.equals(UNKNOWN_VERSION);
    }

    /**
     * Returns whether a stream may have begun at a server that had started again with another version than it was registered
     * with.
     *
     * @param request identifier of the request that brought its first event
     * @return true if this node, or one that reports on the stream, doubts its version
     */
    public synchronized boolean isDoubted(String request) {
        Origin origin = originByRequest.get(request);
        return origin != null
                && (origin.reported().isDoubted()
                        || origin.own()
                                .map(Own::softwareVersion)
                                .filter(UNKNOWN_VERSION::equals)
                                .isPresent());
    }

    /**
     * Returns whether this node has given a stream's first event to its client, so that its version is known by more than where
     * a request was sent.
     *
     * @param request identifier of the request that brought its first event
     * @return true if no report can tell otherwise
     */
    public synchronized boolean hasBegun(String request) {
        Origin origin = originByRequest.get(request);
        return origin != null && origin.isBegun();
    }

    /**
     * Returns the version at which every stream of a service must have begun, as far as the registrations are known. A
     * caller must make sure that no registration from before the end of the stream is missing.
     *
     * @param service the service
     * @param nowMillis the time in milliseconds
     * @return the version, or empty if there may have been several for the life of a stream
     */
    public synchronized Optional<String> onlyVersion(String service, long nowMillis) {
        if (isUncertain(nowMillis)) {
            return Optional.empty();
        }
        Set<String> live = versions.live(service, nowMillis);
        return live.size() == 1 ? live.stream().findFirst() : Optional.empty();
    }

    /**
     * Takes what the other nodes do not know yet.
     *
     * @param nowMillis the time in milliseconds
     * @return reports on the services with more than one version; empty if there is nothing new
     */
    public synchronized List<Report> takeUnreported(long nowMillis) {
        Map<String, Map<String, List<String>>> byService = new HashMap<>();
        for (String service : versions.services()) {
            Set<String> live = versions.live(service, nowMillis);
            if (live.size() > 1 && !live.equals(reportedByService.get(service))) {
                Map<String, List<String>> byVersion = byService.computeIfAbsent(service, key -> new HashMap<>());
                live.forEach(version -> byVersion.put(version, new ArrayList<>()));
            }
            reportedByService.put(service, live);
        }
        for (String request : unreported) {
            Origin origin = originByRequest.get(request);
            if (origin != null) {
                origin.own().ifPresent(own -> byService
                        .computeIfAbsent(origin.service(), key -> new HashMap<>())
                        .computeIfAbsent(own.softwareVersion(), key -> new ArrayList<>())
                        .add(request));
            }
        }
        unreported.clear();
        List<Report> reports = new ArrayList<>();
        byService.forEach((service, byVersion) ->
                byVersion.forEach((version, requests) -> reports.add(new Report(service, version, requests))));
        return reports;
    }

    /**
     * Reports where a request of this node is answered, also if the service has one version only as far as this node knows.
     *
     * @param service the service
     * @param request identifier of the client's request
     * @param softwareVersion version of the engine that answers
     * @param serverId identifier of the engine, empty if another node sent to it
     * @param nowMillis the time in milliseconds
     */
    public synchronized void report(
            String service, String request, String softwareVersion, String serverId, long nowMillis) {
        addOwn(service, request, new Own(softwareVersion, serverId, false), nowMillis);
        Origin origin = originByRequest.get(request);
        if (origin != null && origin.own().isPresent()) {
            unreported.add(request);
        }
    }

    /** Reports all streams of this node again, because reports were not delivered or have been lost. */
    public synchronized void reportAgain() {
        reportedByService.clear();
        originByRequest.forEach((request, origin) -> {
            if (origin.own().isPresent()) {
                unreported.add(request);
            }
        });
    }

    /**
     * Records that reports of the last seconds may be missing, so that a stream without one may have begun anywhere.
     *
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onReportsLost(long nowMillis) {
        uncertainUntilMillis = nowMillis + STREAM_LIFE_MILLIS;
    }

    /**
     * Returns whether reports or versions from before this node's start may be missing.
     *
     * @param nowMillis the time in milliseconds
     * @return false once no stream from before it can be taken up any more
     */
    public synchronized boolean isUncertain(long nowMillis) {
        return nowMillis < uncertainUntilMillis;
    }
}
