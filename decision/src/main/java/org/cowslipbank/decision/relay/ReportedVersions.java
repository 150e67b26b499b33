package org.cowslipbank.decision.relay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * What the metadata store may hold of this node's reports on requests, so that a client gets nothing of a stream while a report
 * that names another software version may be the newest one. A report counts from when it is taken for a write, since a write
 * without an answer may have been carried out, or may still be. One write is in progress at a time.
 *
 * <p>Thread-safe: used by the traffic thread and the control thread.
 */
public final class ReportedVersions {
    /** Stands for reports of other nodes, whose versions are not known. */
    private static final String OTHER_NODES = "";

    private final Map<String, Reported> byRequest = new LinkedHashMap<>();

    /**
     * Reports on a request.
     *
     * @param softwareVersion the version in the last report
     * @param replaces true if the store may still hold an earlier report of another version as the newest one
     * @param sinceMillis time of the last report in milliseconds
     */
    private record Reported(String softwareVersion, boolean replaces, long sinceMillis) {}

    /**
     * Takes reports for a write. Nothing is decided between the taking and the record of it.
     *
     * @param taker takes the reports
     * @param nowMillis the time in milliseconds
     * @return the reports
     */
    public synchronized List<StreamOrigins.Report> take(Supplier<List<StreamOrigins.Report>> taker, long nowMillis) {
        List<StreamOrigins.Report> reports = taker.get();
        for (StreamOrigins.Report report : reports) {
            report.requests().forEach(request -> onTaken(request, report.softwareVersion(), nowMillis));
        }
        return reports;
    }

    private void onTaken(String request, String softwareVersion, long nowMillis) {
        Reported known = byRequest.get(request);
        boolean replaces =
                known != null && (known.replaces() || !known.softwareVersion().equals(softwareVersion));
        add(request, new Reported(softwareVersion, replaces, nowMillis));
    }

    /**
     * Records that other nodes may have reported a request, which was passed to one of them.
     *
     * @param request identifier of the request
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onPassedOn(String request, long nowMillis) {
        if (request.length() > StreamOrigins.MAX_ID_LENGTH) {
            // No node reports it, and it cannot be taken up at several versions.
            return;
        }
        add(request, new Reported(OTHER_NODES, true, nowMillis));
    }

    /**
     * Records that the store has acknowledged the last write.
     *
     * @param reports the reports of this write
     */
    public synchronized void onAcknowledged(List<StreamOrigins.Report> reports) {
        for (StreamOrigins.Report report : reports) {
            for (String request : report.requests()) {
                byRequest.computeIfPresent(
                        request,
                        (key, known) -> known.softwareVersion().equals(report.softwareVersion())
                                ? new Reported(known.softwareVersion(), false, known.sinceMillis())
                                : known);
            }
        }
    }

    /**
     * Returns whether a client may get events of a software version.
     *
     * @param request identifier of the request
     * @param softwareVersion the version
     * @return false while the store may hold, or may still get, a report that names another version and is the newest one
     */
    public synchronized boolean allows(String request, String softwareVersion) {
        Reported known = byRequest.get(request);
        return known == null || !known.replaces() && known.softwareVersion().equals(softwareVersion);
    }

    /**
     * Returns whether a version is the one that was taken for a write last, so that it need not be reported again.
     *
     * @param request identifier of the request
     * @param softwareVersion the version
     * @return false if the last report names another version, or there is none
     */
    public synchronized boolean isLast(String request, String softwareVersion) {
        Reported known = byRequest.get(request);
        return known != null && known.softwareVersion().equals(softwareVersion);
    }

    private void add(String request, Reported reported) {
        // Removed first, so that the order is that of the times.
        byRequest.remove(request);
        byRequest.put(request, reported);
        var oldest = byRequest.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = reported.sinceMillis() - oldest.next().sinceMillis() >= StreamOrigins.STREAM_LIFE_MILLIS;
            if (!expired && byRequest.size() <= StreamOrigins.MAX_STREAMS) {
                return;
            }
            oldest.remove();
        }
    }
}
