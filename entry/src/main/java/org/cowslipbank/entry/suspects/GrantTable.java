package org.cowslipbank.entry.suspects;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.cowslipbank.decision.suspects.SuspectArbiter;
import org.cowslipbank.model.UpstreamId;

/** Grants that this node holds for runs of suspects, by fingerprint. Thread-safe. */
final class GrantTable {
    private final Map<Long, Grant> grants = new ConcurrentHashMap<>();

    /**
     * Leased permission to run a suspect at an upstream.
     *
     * @param upstream the upstream to run at
     * @param exclusive true if nothing else may run there
     * @param expiresAtMillis monotonic time at which the lease expires
     * @param onExpired cancels the run when the lease expires
     */
    record Grant(UpstreamId upstream, boolean exclusive, long expiresAtMillis, Runnable onExpired) {
        Grant renewedAt(long askedMillis) {
            return new Grant(upstream, exclusive, askedMillis + SuspectArbiter.LEASE_MILLIS, onExpired);
        }
    }

    void add(long fingerprint, SuspectArbiter.Answer answer, long askedMillis, Runnable onExpired) {
        long expiresAtMillis = askedMillis + SuspectArbiter.LEASE_MILLIS;
        grants.put(fingerprint, new Grant(answer.upstream(), answer.alone(), expiresAtMillis, onExpired));
    }

    Grant remove(long fingerprint) {
        return grants.remove(fingerprint);
    }

    void renew(long fingerprint, long askedMillis) {
        grants.computeIfPresent(fingerprint, (key, grant) -> grant.renewedAt(askedMillis));
    }

    Map<Long, Grant> snapshot() {
        return Map.copyOf(grants);
    }

    List<Grant> removeExpired(long nowMillis) {
        List<Grant> expired = new ArrayList<>();
        snapshot().forEach((fingerprint, grant) -> {
            if (grant.expiresAtMillis() <= nowMillis && grants.remove(fingerprint, grant)) {
                expired.add(grant);
            }
        });
        return expired;
    }
}
