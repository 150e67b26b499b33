package org.cowslipbank.entry.relay;

import java.util.HashSet;
import java.util.Set;

import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.publisher.Mono;

/**
 * Tells all nodes which requests an upstream was running when it broke off, through the metadata parts.store(). The reports end
 * with a lease. Runs on the control thread.
 */
final class CrashReports {
    /** How long a report counts: a request that crashes upstreams comes again within seconds. */
    static final long LIFETIME_MILLIS = 60_000;

    /** How long a lease is used for new reports. */
    static final long LEASE_USED_MILLIS = 30_000;

    /** The most reports a second: one crash breaks about as many requests as an engine runs of one node. */
    static final int REPORTS_PER_SECOND = 12;

    private static final long SECOND_MILLIS = 1_000;

    private final ControlParts parts;
    private final Set<String> reported = new HashSet<>();
    private Mono<Long> lease = Mono.empty();
    private long leaseGrantedMillis = Long.MIN_VALUE / 2;
    private long second;
    private int reports;

    CrashReports(ControlParts parts) {
        this.parts = parts;
    }

    void report(String fingerprint, String incarnation) {
        parts.control().schedule(() -> write(fingerprint, incarnation));
    }

    private void write(String fingerprint, String incarnation) {
        long nowMillis = parts.clocks().nowMillis();
        if (nowMillis / SECOND_MILLIS != second) {
            second = nowMillis / SECOND_MILLIS;
            reports = 0;
        }
        String key = parts.items().crashKey(fingerprint, incarnation);
        if (++reports > REPORTS_PER_SECOND || !reported.add(key)) {
            return;
        }
        if (nowMillis - leaseGrantedMillis > LEASE_USED_MILLIS) {
            leaseGrantedMillis = nowMillis;
            reported.clear();
            lease = parts.store()
                    .grantLease(LIFETIME_MILLIS)
                    .map(MetadataStore.Lease::id)
                    .cache();
        }
        lease.flatMap(id -> parts.store().write(new MetadataStore.Write(key, new byte[0], id)))
                .publishOn(parts.control())
                .subscribe(revision -> {}, error -> onError(key, error));
    }

    private void onError(String key, Throwable error) {
        reported.remove(key);
        leaseGrantedMillis = Long.MIN_VALUE / 2;
        parts.log()
                .state(LogFields.event("crash not reported").field("key", key).error(error));
    }
}
