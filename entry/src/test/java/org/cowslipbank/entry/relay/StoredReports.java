package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/** Looks into the reports on stream origins that a fake metadata store holds. */
final class StoredReports {
    private StoredReports() {}

    /** Returns whether an item of the store reports a request at a software version. */
    static boolean names(FakeMetadataStore store, String softwareVersion, String request) {
        Pattern report = Pattern.compile("\"" + softwareVersion + "\":\\[[^\\]]*\"" + request + "\"");
        return store.keys().stream()
                .filter(key -> key.contains("streams/"))
                .flatMap(key -> store.item(key).stream())
                .anyMatch(item -> report.matcher(new String(item.value(), StandardCharsets.UTF_8))
                        .find());
    }
}
