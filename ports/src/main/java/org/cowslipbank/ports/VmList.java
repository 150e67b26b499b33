package org.cowslipbank.ports;

import java.util.List;

import reactor.core.publisher.Mono;

/** Client of the platform's list of live and leaving VMs. The list lags behind the actual state. */
@FunctionalInterface
public interface VmList {
    /**
     * Reads the list.
     *
     * @return the VMs
     */
    Mono<List<VmEntry>> list();
}
