package org.cowslipbank.ports;

import java.util.List;

import reactor.core.publisher.Mono;

/** The platform's list of live and leaving VMs. It lags behind the truth. */
@FunctionalInterface
public interface VmList {
    /**
     * Reads the list.
     *
     * @return the VMs
     */
    Mono<List<VmEntry>> list();
}
