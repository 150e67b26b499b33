package org.cowslipbank.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Function;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.relay.PartLocations;
import org.cowslipbank.decision.relay.UpstreamSelector;
import org.cowslipbank.model.relay.PromptShape;
import org.cowslipbank.model.relay.UpstreamServer;

/** Where the shared part of one request's prompt is, as far as the node knows. Runs on the traffic thread. */
final class PromptLocations {
    private final PartLocations locations;
    private final Clocks clocks;
    private final PromptShape prompt;
    private final int sharedTokens;
    private final Versions versions;

    /**
     * What decides under which scope an engine keeps the prompt's parts.
     *
     * @param versionOf weight version of the prompt's model at an engine, empty if not known
     * @param scopeOf cache scope of the request for a weight version, empty without a version
     */
    record Versions(
            Function<UpstreamServer, OptionalLong> versionOf, Function<OptionalLong, Optional<String>> scopeOf) {}

    PromptLocations(PartLocations locations, Clocks clocks, PromptShape prompt, Versions versions) {
        this.locations = locations;
        this.clocks = clocks;
        this.prompt = prompt;
        this.sharedTokens = prompt.sharedTokens();
        this.versions = versions;
    }

    /**
     * Returns the number of tokens that the prompt shares with others.
     *
     * @return the sum over its shared parts
     */
    int sharedTokens() {
        return sharedTokens;
    }

    /**
     * Returns which engines hold the shared part, for one choice.
     *
     * @return the answer for each engine; engines of an unknown weight version hold it if they are its home engine
     */
    UpstreamSelector.SharedPart sharedPart() {
        if (sharedTokens == 0) {
            return UpstreamSelector.SharedPart.AT_HOME_ONLY;
        }
        // Most engines have the same version, so that the scope is built once.
        Map<OptionalLong, OptionalInt> listedByVersion = new HashMap<>();
        return new UpstreamSelector.SharedPart(
                server -> {
                    OptionalInt part =
                            listedByVersion.computeIfAbsent(versions.versionOf().apply(server), this::listedPart);
                    return part.isPresent() && isHeldAt(part.getAsInt(), server);
                },
                this::isSettled);
    }

    /**
     * Returns the engines of a weight version that probably hold the shared part.
     *
     * @param engines the engines of the service that take new work
     * @param version the weight version
     * @return the home engine unless it has just started, and the engines that are listed and had time to compute the part
     */
    List<UpstreamServer> holders(List<UpstreamServer> engines, OptionalLong version) {
        OptionalInt part = partHash(version);
        if (sharedTokens == 0 || part.isEmpty()) {
            return List.of();
        }
        List<UpstreamServer> holders = new ArrayList<>();
        Optional<UpstreamServer> home = Rendezvous.owner(prompt.affinityKey(), engines, UpstreamServer::address);
        home.filter(this::isSettled).ifPresent(holders::add);
        if (locations.isListed(part.getAsInt())) {
            engines.stream()
                    .filter(engine -> !holders.contains(engine)
                            && locations.isComputedAt(
                                    part.getAsInt(), PartLocations.engineHash(engine), clocks.nowMillis()))
                    .forEach(holders::add);
        }
        holders.removeIf(holder -> !versions.versionOf().apply(holder).equals(version));
        return holders;
    }

    /**
     * Returns the engines of a weight version that are compared first for the shared part. They may hold it without this node's
     * knowledge, because other nodes have placed its requests there.
     *
     * @param engines the engines of the service that take new work
     * @param version the weight version
     * @return the home engine and the next one
     */
    List<UpstreamServer> nearest(List<UpstreamServer> engines, OptionalLong version) {
        if (sharedTokens == 0) {
            return List.of();
        }
        return UpstreamSelector.nearest(prompt.affinityKey(), engines).stream()
                .filter(engine -> versions.versionOf().apply(engine).equals(version))
                .toList();
    }

    private OptionalInt partHash(OptionalLong version) {
        Optional<String> scope = versions.scopeOf().apply(version);
        return scope.isEmpty()
                ? OptionalInt.empty()
                : OptionalInt.of(PartLocations.partHash(scope.get(), prompt.affinityKey()));
    }

    private OptionalInt listedPart(OptionalLong version) {
        OptionalInt part = partHash(version);
        return part.isPresent() && locations.isListed(part.getAsInt()) ? part : OptionalInt.empty();
    }

    private boolean isHeldAt(int part, UpstreamServer server) {
        return locations.isHeldAt(part, PartLocations.engineHash(server), clocks.nowMillis());
    }

    private boolean isSettled(UpstreamServer home) {
        OptionalLong version = versions.versionOf().apply(home);
        return version.isEmpty() || locations.isSettled(home, prompt.model(), version.getAsLong(), clocks.nowMillis());
    }

    /**
     * Records that the request is sent to an engine.
     *
     * @param server the engine
     */
    void onPlaced(UpstreamServer server) {
        partHash(versions.versionOf().apply(server))
                .ifPresent(part ->
                        locations.onPlaced(part, sharedTokens, PartLocations.engineHash(server), clocks.nowMillis()));
    }

    /**
     * Records that an engine did not run the request.
     *
     * @param server the engine
     * @param placedMillis when the request was placed there, in milliseconds
     */
    void onNotRun(UpstreamServer server, long placedMillis) {
        partHash(versions.versionOf().apply(server))
                .ifPresent(part -> locations.onNotRun(part, PartLocations.engineHash(server), placedMillis));
    }
}
