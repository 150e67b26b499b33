package org.cowslipbank.entry.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import org.cowslipbank.decision.suspects.CrashCauses.Suspect;
import org.cowslipbank.decision.suspects.CrashVerdicts;
import org.cowslipbank.decision.suspects.Fingerprint;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.relay.PromptShape;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.RelayRequest;

/**
 * What one request consists of that may crash an engine: the request as a whole, identified by team, path and body, and
 * the parts of its prompt that other requests may share.
 */
final class RequestSuspects {
    private static final String REQUEST = "request:";
    private static final String PART = "part:";

    private final RelayContext context;
    private final RelayRequest request;
    private final TeamId team;
    private final ByteBuf body;
    private Set<Suspect> suspects;
    private boolean isProbe;
    private boolean mayHaveRun;
    private boolean awaitedLogged;

    /**
     * Creates the suspects of a request; they are derived when they are first needed.
     *
     * @param context the node's shared state
     * @param request the request
     * @param team the client's team
     * @param body the request's body; must not be released before the last call
     */
    RequestSuspects(RelayContext context, RelayRequest request, TeamId team, ByteBuf body) {
        this.context = context;
        this.request = request;
        this.team = team;
        this.body = body;
    }

    /**
     * Returns whether the request is refused because it, or one of its parts, is taken as the cause of crashes. A part that
     * was in sound answers lately is not refused while one that clears it may still be told. The leader lets a few refused
     * requests through, as probes, until they may have run.
     *
     * @return true if it must not be sent
     */
    boolean areRefused() {
        PlatformView view = context.view().get();
        Set<String> refused = view.crashes().refused();
        if (isProbe || refused.isEmpty()) {
            return false;
        }
        Set<String> causes = refusedSuspects(refused);
        Set<String> own = notCleared(view.crashes(), causes);
        if (own.isEmpty()) {
            logAwaited(causes);
            return false;
        }
        if (mayHaveRun || !view.isLedBy(context.settings().nodeName())) {
            return true;
        }
        Map<String, Long> probes =
                context.probes().takeProbe(own, refused, context.clocks().nowMillis());
        isProbe = !probes.isEmpty();
        if (isProbe) {
            context.crashReports().reportProbes(probes);
            context.log()
                    .logState(LogFields.event("refused request is sent as a probe")
                            .field("request", request.id())
                            .field("refused", own));
        }
        return !isProbe;
    }

    /**
     * Returns whether a request like this one is refused, unless the leader sends it as a probe. Takes no probe and logs
     * nothing.
     *
     * @param view the platform
     * @return true if the request or one of its parts is taken as the cause of crashes
     */
    boolean wouldBeRefused(PlatformView view) {
        Set<String> refused = view.crashes().refused();
        return !refused.isEmpty()
                && !notCleared(view.crashes(), refusedSuspects(refused)).isEmpty();
    }

    private Set<String> refusedSuspects(Set<String> refused) {
        return suspects().stream().map(Suspect::id).filter(refused::contains).collect(Collectors.toSet());
    }

    private Set<String> notCleared(CrashVerdicts verdicts, Set<String> causes) {
        return causes.stream().filter(cause -> !mayBeCleared(verdicts, cause)).collect(Collectors.toSet());
    }

    /**
     * Returns whether the request or one of its parts is suspected of any crash, so that it is sent to one upstream at a
     * time.
     *
     * @return true if it was in progress at a crash since its last sound answer, or is refused
     */
    boolean areSuspected() {
        CrashVerdicts verdicts = context.view().get().crashes();
        if (verdicts.suspected().isEmpty()
                && verdicts.watched().isEmpty()
                && verdicts.refused().isEmpty()) {
            return false;
        }
        return suspects().stream()
                .map(Suspect::id)
                .anyMatch(suspect -> verdicts.suspected().contains(suspect)
                        || verdicts.watched().contains(suspect)
                        || verdicts.refused().contains(suspect));
    }

    private boolean mayBeCleared(CrashVerdicts verdicts, String cause) {
        return context.soundParts()
                .mayBeCleared(
                        cause,
                        verdicts.watchedSinceMillis().get(cause),
                        context.clocks().nowMillis());
    }

    private void logAwaited(Set<String> causes) {
        if (causes.isEmpty() || awaitedLogged) {
            return;
        }
        awaitedLogged = true;
        context.log()
                .logRequest(LogFields.event("request not refused yet; its parts were in sound answers")
                        .field("request", request.id())
                        .field("causes", causes));
    }

    /** Records that an attempt failed and may have run, so that the request is not sent again while it is refused. */
    void onPossibleRun() {
        isProbe = false;
        mayHaveRun = true;
    }

    /**
     * Reports that an answer to the request broke off.
     *
     * @param server the upstream
     * @param sentMillis when the request was sent
     */
    void reportBroken(UpstreamServer server, long sentMillis) {
        context.crashReports().reportBroken(server, suspects(), sentMillis);
    }

    /** Clears the suspects, since an answer to the request went on well. */
    void reportSound() {
        context.soundParts().onSound(partIds(), context.clocks().nowMillis());
        PlatformView newest = context.view().get();
        Set<String> suspected = newest.crashes().suspected();
        Set<String> watched = newest.crashes().watched();
        if (suspected.isEmpty() && watched.isEmpty()) {
            return;
        }
        Set<String> sound = suspects().stream()
                .map(Suspect::id)
                .filter(suspect -> suspected.contains(suspect) || watched.contains(suspect))
                .collect(Collectors.toSet());
        if (!sound.isEmpty()) {
            context.crashReports().reportSound(sound, newest.revision());
        }
    }

    private Set<Suspect> suspects() {
        if (suspects == null) {
            suspects = derive();
        }
        return suspects;
    }

    private List<String> partIds() {
        return request.prompt().map(PromptShape::sharedParts).orElse(List.of()).stream()
                .map(part -> PART + part.id())
                .toList();
    }

    private Set<Suspect> derive() {
        List<String> parts = partIds();
        Set<Suspect> derived = new HashSet<>();
        for (int depth = 0; depth < parts.size(); depth++) {
            derived.add(new Suspect(parts.get(depth), depth));
        }
        long fingerprint = Fingerprint.of(team, request.path(), ByteBufUtil.getBytes(body), 0);
        derived.add(new Suspect(REQUEST + Long.toHexString(fingerprint), parts.size()));
        return derived;
    }
}
