package org.cowslipbank.entry.relay;

import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.publisher.Mono;

/**
 * Leases in the metadata store under which a node's reports expire. Reports share a lease for half of its lifetime, so that
 * each lives for the other half at least. Confined to the control thread.
 */
final class ReportLease {
    private final ControlContext context;
    private final long ttlMillis;
    private Mono<Long> lease = Mono.empty();
    private long grantedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates leases.
     *
     * @param context the control thread's shared state
     * @param ttlMillis lifetime of each lease in milliseconds
     */
    ReportLease(ControlContext context, long ttlMillis) {
        this.context = context;
        this.ttlMillis = ttlMillis;
    }

    /**
     * Grants a new lease if the present one is half over.
     *
     * @return true if later reports are attached to a new lease
     */
    boolean renewIfDue() {
        long nowMillis = context.clocks().nowMillis();
        if (nowMillis - grantedMillis <= ttlMillis / 2) {
            return false;
        }
        grantedMillis = nowMillis;
        lease = context.store()
                .grantLease(ttlMillis)
                .map(MetadataStore.Lease::id)
                .cache();
        return true;
    }

    /**
     * Returns the identifier of the present lease.
     *
     * @return the identifier, empty before the first one
     */
    Mono<Long> id() {
        return lease;
    }

    /** Lets the next report be attached to a new lease, because the present one failed or has ended. */
    void discard() {
        grantedMillis = Long.MIN_VALUE / 2;
    }
}
