/**
 * Interfaces to the outside systems: the platform's key-value service and VM list, model engines, plain services and
 * store VMs.
 *
 * <p>The wire formats of these systems are hidden behind the interfaces, so that an adapter can be replaced without
 * changing the decision code. All methods return cold publishers; a failure is signalled as a
 * {@link org.cowslipbank.model.CowslipbankException} with the step and the peer.
 */
package org.cowslipbank.ports;
