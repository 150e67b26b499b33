package org.cowslipbank.ports;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * One VM in the platform's VM list.
 *
 * @param vm the VM's identifier
 * @param kind what runs on it
 * @param dataCentre its data centre
 * @param address its address as {@code IP:port}
 * @param leaving true once the platform has announced the VM's removal
 */
public record VmEntry(VmId vm, VmKind kind, DataCentreId dataCentre, String address, boolean leaving) {}
