/**
 * Records that nodes exchange about the fleet: member states and the facts piggybacked on probes.
 *
 * <p>They are shared by the codec in {@code peer} and the state machine in {@code decision}, which must not depend on
 * each other. Every fact type merges by a total order or a set union, so the order of arrival does not matter.
 */
package org.cowslipbank.model.fleet;
