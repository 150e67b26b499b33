package org.cowslipbank.entry.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * When each data centre was heard, and the revisions its nodes have reported. Used by the control thread alone.
 *
 * <p>A change counts as known in a data centre once two of its nodes hold it, if two are heard: a single one could
 * restart before it has told the others, and a data centre that is then cut off would go on with the old revision.
 */
final class DataCentres {
    private static final int WITNESSES = 2;

    private final ConfigurationNode node;
    private final Map<DataCentreId, Map<VmId, Heard>> nodes = new HashMap<>();

    private record Heard(long revision, long askedMillis) {}

    DataCentres(ConfigurationNode node) {
        this.node = node;
    }

    void heard(PeerReport report, long askedMillis) {
        Map<VmId, Heard> members = nodes.computeIfAbsent(report.dataCentre(), key -> new HashMap<>());
        Heard before = members.get(report.node());
        if (before == null || askedMillis >= before.askedMillis()) {
            members.put(report.node(), new Heard(report.revision(), askedMillis));
        }
    }

    void paused() {
        nodes.clear();
    }

    List<String> notHeard(Set<DataCentreId> named, List<String> mayLag, long nowMillis) {
        Set<DataCentreId> needed = needed(named, mayLag);
        needed.remove(node.dataCentre());
        return needed.stream()
                .filter(dataCentre -> heardNow(dataCentre, nowMillis).isEmpty())
                .map(DataCentreId::value)
                .toList();
    }

    List<String> behind(Set<DataCentreId> named, List<String> mayLag, long revision, long nowMillis) {
        return needed(named, mayLag).stream()
                .filter(dataCentre -> isBehind(dataCentre, revision, nowMillis))
                .map(DataCentreId::value)
                .toList();
    }

    private boolean isBehind(DataCentreId dataCentre, long revision, long nowMillis) {
        List<Heard> heard = heardNow(dataCentre, nowMillis);
        boolean own = dataCentre.equals(node.dataCentre());
        long holders =
                heard.stream().filter(report -> report.revision() >= revision).count() + (own ? 1 : 0);
        int members = heard.size() + (own ? 1 : 0);
        return members == 0 || holders < Math.min(WITNESSES, members);
    }

    private List<Heard> heardNow(DataCentreId dataCentre, long nowMillis) {
        return nodes.getOrDefault(dataCentre, Map.of()).values().stream()
                .filter(heard -> nowMillis - heard.askedMillis() <= node.boundMillis())
                .toList();
    }

    private Set<DataCentreId> needed(Set<DataCentreId> named, List<String> mayLag) {
        Set<DataCentreId> needed = new TreeSet<>(node.dataCentres());
        needed.addAll(named);
        needed.add(node.dataCentre());
        needed.removeIf(dataCentre -> mayLag.contains(dataCentre.value()));
        return needed;
    }
}
