/**
 * The shell around the membership state machine: one control thread that ticks it, sends its messages and publishes
 * immutable snapshots for the traffic threads.
 */
package org.cowslipbank.entry.fleet;
