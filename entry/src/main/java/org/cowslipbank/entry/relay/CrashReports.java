package org.cowslipbank.entry.relay;

import java.util.HashSet;
import java.util.Set;

import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.publisher.Mono;

/**
 * Reports to all nodes, through the metadata store, which requests an upstream was running when its connection broke.
 * Reports are attached to a lease and expire with it. Runs on the control thread.
 */
final class CrashReports {
    /** Lifetime of a report; clients repeat a request that crashes upstreams within seconds. */
    static final long REPORT_TTL_MILLIS = 60_000;

    /** Time for which new reports share one lease; each report then lives for at least half of its lifetime. */
    static final long LEASE_REUSE_MILLIS = 30_000;

    /** Limit on reports per second; a crash breaks about as many requests as the engine runs for one node. */
    static final int MAX_REPORTS_PER_SECOND = 12;

    private static final long SECOND_MILLIS = 1_000;

    private final ControlContext context;
    private final Set<String> reported = new HashSet<>();
    private Mono<Long> lease = Mono.empty();
    private long leaseGrantedMillis = Long.MIN_VALUE / 2;
    private long currentSecond;
    private int reportsThisSecond;

    CrashReports(ControlContext context) {
        this.context = context;
    }

    void report(String fingerprint, String incarnation) {
        context.control().schedule(() -> write(fingerprint, incarnation));
    }

    private void write(String fingerprint, String incarnation) {
        long nowMillis = context.clocks().nowMillis();
        if (nowMillis / SECOND_MILLIS != currentSecond) {
            currentSecond = nowMillis / SECOND_MILLIS;
            reportsThisSecond = 0;
        }
        String key = context.items().crashKey(fingerprint, incarnation);
        if (++reportsThisSecond > MAX_REPORTS_PER_SECOND || !reported.add(key)) {
            return;
        }
        if (nowMillis - leaseGrantedMillis > LEASE_REUSE_MILLIS) {
            leaseGrantedMillis = nowMillis;
            reported.clear();
            lease = context.store()
                    .grantLease(REPORT_TTL_MILLIS)
                    .map(MetadataStore.Lease::id)
                    .cache();
        }
        lease.flatMap(id -> context.store().write(new MetadataStore.Write(key, new byte[0], id)))
                .publishOn(context.control())
                .subscribe(revision -> {}, error -> onError(key, error));
    }

    private void onError(String key, Throwable error) {
        reported.remove(key);
        leaseGrantedMillis = Long.MIN_VALUE / 2;
        context.log()
                .logState(LogFields.event("crash report not written; other nodes do not count this crash")
                        .field("key", key)
                        .error(error));
    }
}
