package org.cowslipbank.config;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.StoreId;

/**
 * A store VM.
 *
 * @param id the store
 * @param dataCentre its data centre
 * @param address its address as {@code IP:port}
 * @param linkBytesPerSecond rate of its link in bytes a second
 */
public record StoreVm(StoreId id, DataCentreId dataCentre, String address, long linkBytesPerSecond) {}
