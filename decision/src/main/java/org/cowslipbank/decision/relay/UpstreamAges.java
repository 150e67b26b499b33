package org.cowslipbank.decision.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.cowslipbank.model.relay.UpstreamServer;

/**
 * Since when each engine has been up with its weight versions, as far as this node knows. A node that has just started takes
 * engines that state no start for old, because their registrations tell nothing else.
 */
final class UpstreamAges {
    /** A time before which all engines that state no start have started. */
    private static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 4;

    /** The weight version of a model and since when it is known to be loaded. */
    private record Loaded(long version, long sinceMillis) {}

    private final Map<String, Map<String, Loaded>> loadedByIncarnation = new HashMap<>();
    private boolean hasRead;

    void setUpstreams(Collection<UpstreamServer> servers, long wallMillis, long nowMillis) {
        Set<String> registered = new HashSet<>();
        for (UpstreamServer server : servers) {
            String incarnation = server.incarnation();
            registered.add(incarnation);
            boolean isNew = !loadedByIncarnation.containsKey(incarnation);
            long sinceMillis = isNew ? startMillis(server, wallMillis, nowMillis) : nowMillis;
            Map<String, Loaded> loaded = loadedByIncarnation.computeIfAbsent(incarnation, key -> new HashMap<>());
            server.versionByModel().forEach((model, version) -> update(loaded, model, version, sinceMillis));
        }
        loadedByIncarnation.keySet().retainAll(registered);
        hasRead |= !servers.isEmpty();
    }

    private long startMillis(UpstreamServer server, long wallMillis, long nowMillis) {
        if (server.startedAtMillis() > 0) {
            return nowMillis - Math.max(0, wallMillis - server.startedAtMillis());
        }
        return hasRead ? nowMillis : LONG_AGO_MILLIS;
    }

    /** A registration may be older than an answer that stated a newer version, so that versions only rise. */
    private static Loaded update(Map<String, Loaded> loaded, String model, long version, long sinceMillis) {
        Loaded known = loaded.get(model);
        if (known != null && known.version() >= version) {
            return known;
        }
        Loaded newer = new Loaded(version, sinceMillis);
        loaded.put(model, newer);
        return newer;
    }

    /**
     * Returns for how long an engine has been up with a weight version.
     *
     * @param server the engine
     * @param model the model
     * @param version the version that it is known to have loaded, perhaps by an answer and not yet by its registration
     * @param nowMillis the time in milliseconds
     * @param remember false if a version that was not known before is not to be taken over
     * @return the time in milliseconds; zero if the version was not known before, or no registration of the engine names the
     *     model
     */
    long upMillis(UpstreamServer server, String model, long version, long nowMillis, boolean remember) {
        Map<String, Loaded> loaded = loadedByIncarnation.get(server.incarnation());
        // Clients name the model, so that only names of registrations may be kept.
        Loaded known = loaded == null ? null : loaded.get(model);
        if (known == null || !remember && known.version() < version) {
            return 0;
        }
        return nowMillis - update(loaded, model, version, nowMillis).sinceMillis();
    }
}
