/**
 * Runs the membership state machine: one control thread feeds it timer ticks and messages, carries out its effects and
 * publishes immutable snapshots for the traffic threads.
 */
package org.cowslipbank.entry.fleet;
