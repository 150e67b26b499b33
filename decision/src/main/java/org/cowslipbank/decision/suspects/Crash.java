package org.cowslipbank.decision.suspects;

import java.util.Set;

import org.cowslipbank.model.UpstreamId;

/**
 * One crash of an upstream, aggregated from the crash facts of all nodes.
 *
 * @param upstream the crashed upstream
 * @param firstDetectedMillis wall-clock time at which the first node detected the crash
 * @param fingerprints the requests that were in flight and have not been cleared since
 */
record Crash(UpstreamId upstream, long firstDetectedMillis, Set<Long> fingerprints) {}
