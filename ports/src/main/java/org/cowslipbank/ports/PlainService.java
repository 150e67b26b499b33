package org.cowslipbank.ports;

import reactor.core.publisher.Mono;

/** A plain service beside the engines. */
@FunctionalInterface
public interface PlainService {
    /**
     * Calls the service once.
     *
     * @param call the call
     * @return the answer. The error's run state is not run only if the call certainly did not reach the service
     */
    Mono<ServiceAnswer> call(ServiceCall call);
}
