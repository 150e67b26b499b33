package org.cowslipbank.entry.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.cowslipbank.model.DataCentreId;

/** When each data centre was heard, and the highest revision it has reported. Used by the control thread alone. */
final class DataCentres {
    private final ConfigurationNode node;
    private final Map<DataCentreId, Long> heardMillis = new HashMap<>();
    private final Map<DataCentreId, Long> revisions = new HashMap<>();

    DataCentres(ConfigurationNode node) {
        this.node = node;
    }

    void heard(PeerReport report, long askedMillis) {
        heardMillis.merge(report.dataCentre(), askedMillis, Math::max);
        reported(report);
    }

    // An applied revision never falls, so a report counts however old it is.
    void reported(PeerReport report) {
        revisions.merge(report.dataCentre(), report.revision(), Math::max);
    }

    void paused() {
        heardMillis.clear();
    }

    List<String> notHeard(Set<DataCentreId> named, List<String> mayLag, long nowMillis) {
        return needed(named, mayLag).stream()
                .filter(dataCentre -> {
                    Long heard = heardMillis.get(dataCentre);
                    return heard == null || nowMillis - heard > node.boundMillis();
                })
                .map(DataCentreId::value)
                .toList();
    }

    List<String> behind(Set<DataCentreId> named, List<String> mayLag, long revision) {
        return needed(named, mayLag).stream()
                .filter(dataCentre -> revisions.getOrDefault(dataCentre, -1L) < revision)
                .map(DataCentreId::value)
                .toList();
    }

    private Set<DataCentreId> needed(Set<DataCentreId> named, List<String> mayLag) {
        Set<DataCentreId> needed = new TreeSet<>(node.dataCentres());
        needed.addAll(named);
        needed.remove(node.dataCentre());
        needed.removeIf(dataCentre -> mayLag.contains(dataCentre.value()));
        return needed;
    }
}
