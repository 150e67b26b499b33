package org.cowslipbank.ports.relay;

import java.util.Optional;

/**
 * What the node that serves a request for another one says about its answer.
 *
 * @param kind whose answer it is
 * @param runs attempts of the request that may have run, those before it was passed on included
 * @param softwareVersion software version of the upstream that answers, if one does
 * @param reason why the request was refused or failed, empty text for an upstream's answer
 */
public record ForwardedAnswer(Kind kind, int runs, Optional<String> softwareVersion, String reason) {
    /** Whose answer it is. */
    public enum Kind {
        /** An upstream's answer. */
        UPSTREAM,
        /** The node's own; another node would not decide otherwise. */
        OWN,
        /** The node cannot serve the request, which has not run; another node may. */
        UNABLE
    }
}
