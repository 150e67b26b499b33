package org.cowslipbank.config;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.StoreId;

/**
 * A store VM, which holds exported cache blocks.
 *
 * @param id the store's identifier
 * @param dataCentre its data centre
 * @param address its address as {@code IP:port}
 * @param linkBytesPerSecond bandwidth of its link in bytes per second
 */
public record StoreVm(StoreId id, DataCentreId dataCentre, String address, long linkBytesPerSecond) {}
