/**
 * Records that nodes gossip about the fleet: member states and the facts piggybacked on probes.
 *
 * <p>The codec in {@code peer} and the state machine in {@code decision} share them without depending on each other.
 * Every fact type merges by a total order or a set union, so the order of arrival does not matter.
 */
package org.cowslipbank.model.fleet;
