package org.cowslipbank.entry.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * The revisions that the nodes of each data centre have reported, and when. Used by the control thread only.
 *
 * <p>A data centre counts as having a revision once two of its nodes have applied it, or its only reporting node. A
 * single node could restart before it has passed the revision on, and if the data centre were then partitioned from the
 * others, it would keep serving the old revision.
 */
final class DataCentreRevisions {
    private static final int MIN_NODES_WITH_REVISION = 2;

    private final ConfigurationNode node;
    private final Map<DataCentreId, Map<VmId, NodeReport>> reports = new HashMap<>();

    private record NodeReport(long revision, long askedMillis) {}

    DataCentreRevisions(ConfigurationNode node) {
        this.node = node;
    }

    void recordReport(RevisionReport report, long askedMillis) {
        Map<VmId, NodeReport> members = reports.computeIfAbsent(report.dataCentre(), key -> new HashMap<>());
        NodeReport before = members.get(report.node());
        if (before == null || askedMillis >= before.askedMillis()) {
            members.put(report.node(), new NodeReport(report.revision(), askedMillis));
        }
    }

    void discardReports() {
        reports.clear();
    }

    List<String> dataCentresWithoutReport(Set<DataCentreId> configured, List<String> mayLag, long nowMillis) {
        Set<DataCentreId> required = requiredDataCentres(configured, mayLag);
        required.remove(node.dataCentre());
        return required.stream()
                .filter(dataCentre -> recentReports(dataCentre, nowMillis).isEmpty())
                .map(DataCentreId::value)
                .toList();
    }

    List<String> laggingDataCentres(Set<DataCentreId> configured, List<String> mayLag, long revision, long nowMillis) {
        return requiredDataCentres(configured, mayLag).stream()
                .filter(dataCentre -> isLagging(dataCentre, revision, nowMillis))
                .map(DataCentreId::value)
                .toList();
    }

    private boolean isLagging(DataCentreId dataCentre, long revision, long nowMillis) {
        List<NodeReport> recent = recentReports(dataCentre, nowMillis);
        boolean own = dataCentre.equals(node.dataCentre());
        long nodesWithRevision =
                recent.stream().filter(report -> report.revision() >= revision).count() + (own ? 1 : 0);
        int reportingNodes = recent.size() + (own ? 1 : 0);
        return reportingNodes == 0 || nodesWithRevision < Math.min(MIN_NODES_WITH_REVISION, reportingNodes);
    }

    private List<NodeReport> recentReports(DataCentreId dataCentre, long nowMillis) {
        return reports.getOrDefault(dataCentre, Map.of()).values().stream()
                .filter(report -> nowMillis - report.askedMillis() <= node.stalenessBoundMillis())
                .toList();
    }

    private Set<DataCentreId> requiredDataCentres(Set<DataCentreId> configured, List<String> mayLag) {
        Set<DataCentreId> required = new TreeSet<>(node.dataCentres());
        required.addAll(configured);
        required.add(node.dataCentre());
        required.removeIf(dataCentre -> mayLag.contains(dataCentre.value()));
        return required;
    }
}
