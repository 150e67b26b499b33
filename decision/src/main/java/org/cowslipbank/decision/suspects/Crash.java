package org.cowslipbank.decision.suspects;

import java.util.Set;

import org.cowslipbank.model.UpstreamId;

/**
 * One crash of an upstream, put together from the facts of all nodes.
 *
 * @param upstream the upstream
 * @param firstMillis when it was first seen
 * @param fingerprints the uncleared requests that were in flight
 */
record Crash(UpstreamId upstream, long firstMillis, Set<Long> fingerprints) {}
