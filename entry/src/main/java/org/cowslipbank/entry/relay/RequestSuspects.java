package org.cowslipbank.entry.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.cowslipbank.decision.suspects.CrashCauses.Suspect;
import org.cowslipbank.decision.suspects.Fingerprint;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.relay.PromptPart;
import org.cowslipbank.model.relay.PromptShape;
import org.cowslipbank.ports.relay.RelayRequest;

/** Derives what a request consists of that may crash an upstream: the request as a whole and its shared parts. */
final class RequestSuspects {
    private static final String REQUEST = "request:";
    private static final String PART = "part:";

    private RequestSuspects() {}

    /**
     * Returns the suspects of a request.
     *
     * @param request the request
     * @param team the name of the client's team
     * @param body the request's body
     * @return the request itself, identified by team, path and body, and the parts that other requests may share
     */
    static Set<Suspect> of(RelayRequest request, String team, byte[] body) {
        List<PromptPart> parts = request.prompt().map(PromptShape::sharedParts).orElse(List.of());
        Set<Suspect> suspects = new HashSet<>();
        for (int depth = 0; depth < parts.size(); depth++) {
            suspects.add(new Suspect(PART + parts.get(depth).id(), depth));
        }
        long fingerprint = Fingerprint.of(new TeamId(team), request.path(), body, 0);
        suspects.add(new Suspect(REQUEST + Long.toHexString(fingerprint), parts.size()));
        return suspects;
    }
}
