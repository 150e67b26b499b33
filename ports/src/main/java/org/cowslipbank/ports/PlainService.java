package org.cowslipbank.ports;

import reactor.core.publisher.Mono;

/** Client of a plain service, that is an upstream that is not a model engine. */
@FunctionalInterface
public interface PlainService {
    /**
     * Calls the service once.
     *
     * @param call the call
     * @return the answer; an error's run state is {@link org.cowslipbank.model.RunState#NOT_RUN} only if the call
     *     cannot have reached the service
     */
    Mono<ServiceAnswer> call(ServiceCall call);
}
