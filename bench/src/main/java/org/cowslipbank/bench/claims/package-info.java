/** Experiment on claims for at-most-once execution: rate, latency, platform writes, faults and retention. */
package org.cowslipbank.bench.claims;
