/**
 * Experiment on section 11 item 6 of the design page: exactly one complete answer through faults of engines, links and
 * callers, crashing requests, weight loads and the halving of the fleet.
 */
package org.cowslipbank.bench.streams;
