/** Experiment on at-most-once execution: rate, latency, writes, faults and retention. */
package org.cowslipbank.bench.claims;
