package org.cowslipbank.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.cowslipbank.platform.StandInFormats;
import org.cowslipbank.platform.StandInStore;
import org.cowslipbank.platform.StandInUpstream;

/** Engines of several software versions that are killed and replaced. Nodes reach them without a proxy. Thread-safe. */
final class StreamEngines {
    private static final int ENGINES = 5;

    /** Time after which the registration of an engine that was killed ends: three heartbeats. */
    private static final long SILENCE_MILLIS = 1_500;

    /** Longest time until an engine that was killed is replaced. */
    private static final int MAX_REPLACEMENT_MILLIS = 2_500;

    /** One in so many engines that are killed starts again under its identifier and at its port, and how soon. */
    private static final int RESTART_SHARE = 4;

    private static final int MAX_RESTART_MILLIS = 400;

    /** Longest time for which engines of two versions serve in a release that registers the new ones first. */
    private static final int MAX_OVERLAP_MILLIS = 1_500;

    /** One in so many releases goes back to the version before, and one in so many that happen at once is partial. */
    private static final int EARLIER_VERSION_SHARE = 4;

    private static final int PART_SHARE = 4;

    /** One in so many moves of waiting requests is by the kill of an engine. */
    private static final int MOVE_BY_KILL_SHARE = 3;

    private final StandInStore metadataStore;
    private final Random random;
    /** For restarts. */
    private final Random restartRandom;

    private final ScheduledExecutorService timer;
    private final Function<Identity, StandInUpstream> starter;
    private final List<Engine> engines = new ArrayList<>();
    /** Keys of the registrations of engines that were killed. */
    private final Set<String> lapsing = new HashSet<>();

    private String newestVersion = "v1";
    private String earlierVersion = "v1";
    private int versions = 1;

    /**
     * What an engine is started with.
     *
     * @param id its identifier
     * @param softwareVersion its software version
     * @param port its port on loopback, zero for any
     */
    record Identity(String id, String softwareVersion, int port) {}

    private record Engine(Identity identity, StandInUpstream server) {}

    /**
     * Starts the engines.
     *
     * @param metadataStore where they register
     * @param seed decides about engines
     * @param timer for what happens later
     * @param starter starts an engine
     */
    StreamEngines(
            StandInStore metadataStore,
            long seed,
            ScheduledExecutorService timer,
            Function<Identity, StandInUpstream> starter) {
        this.metadataStore = metadataStore;
        this.random = new Random(seed * 19 + 5);
        this.restartRandom = new Random(seed * 23 + 7);
        this.timer = timer;
        this.starter = starter;
        for (int index = 0; index < ENGINES; index++) {
            start(newestVersion);
        }
    }

    private void start(String softwareVersion) {
        start(new Identity("i-" + Long.toHexString(random.nextLong()), softwareVersion, 0));
    }

    private void start(Identity identity) {
        Engine engine = new Engine(identity, starter.apply(identity));
        engines.add(engine);
        var item = engine.server()
                .registration(
                        StandInFormats.ENGINE_SERVICE, false, engine.server().port());
        metadataStore.put(item.getKey(), item.getValue());
    }

    /** Returns the number of engines of a software version that are registered and run, of all if it is empty. */
    synchronized long count(String softwareVersion) {
        return engines.stream()
                .filter(engine -> softwareVersion.isEmpty()
                        || engine.identity().softwareVersion().equals(softwareVersion))
                .count();
    }

    /** Resets the connection of one stream at each engine. */
    synchronized void resetStreams() {
        engines.forEach(engine -> engine.server().resetStream());
    }

    /** Kills an engine, which is replaced by one of the same version later. */
    synchronized String killOne() {
        if (engines.size() == 1) {
            return "no engine";
        }
        Engine engine = engines.get(random.nextInt(engines.size()));
        if (restartRandom.nextInt(RESTART_SHARE) == 0) {
            return restart(engine);
        }
        String how = kill(engine, drawKill());
        String version = engine.identity().softwareVersion();
        timer.schedule(() -> replace(version), random.nextInt(MAX_REPLACEMENT_MILLIS), TimeUnit.MILLISECONDS);
        return how;
    }

    /** Starts an engine of a version, or of the newest one if no other engine of that version is left. */
    private synchronized void replace(String softwareVersion) {
        start(count(softwareVersion) > 0 ? softwareVersion : newestVersion);
    }

    /** Kills an engine, which stays registered and is back soon; then it states another start time. */
    private String restart(Engine engine) {
        Identity identity = engine.identity();
        engines.remove(engine);
        lapsing.add(StandInFormats.registrationKey(identity.id()));
        engine.server().kill(StandInUpstream.Kill.CLOSED);
        int millis = restartRandom.nextInt(MAX_RESTART_MILLIS);
        Identity next = new Identity(
                identity.id(), identity.softwareVersion(), engine.server().port());
        timer.schedule(() -> startAgain(next), millis, TimeUnit.MILLISECONDS);
        return "CLOSED " + next + ", starts again after " + millis + " ms,";
    }

    private synchronized void startAgain(Identity identity) {
        // If all engines were replaced meanwhile, this one does not come back.
        if (lapsing.remove(StandInFormats.registrationKey(identity.id()))) {
            start(identity);
        }
    }

    private StandInUpstream.Kill drawKill() {
        // Mostly closed in order between events, as most killed processes do.
        return random.nextBoolean()
                ? StandInUpstream.Kill.CLOSED
                : StandInUpstream.Kill.values()[random.nextInt(StandInUpstream.Kill.values().length)];
    }

    private String kill(Engine engine, StandInUpstream.Kill kill) {
        engines.remove(engine);
        long lapseMillis = random.nextBoolean() ? 0 : SILENCE_MILLIS;
        engine.server().kill(kill);
        unregister(engine, lapseMillis);
        return kill + " " + engine.identity() + ", registered for " + lapseMillis + " ms more,";
    }

    private void unregister(Engine engine, long lapseMillis) {
        String key = StandInFormats.registrationKey(engine.identity().id());
        lapsing.add(key);
        if (lapseMillis == 0) {
            lapse(key);
        } else {
            timer.schedule(() -> lapse(key), lapseMillis, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void lapse(String key) {
        if (lapsing.remove(key)) {
            metadataStore.remove(key);
        }
    }

    /** Replaces all or some engines by ones of another version, at once: the old ones are killed and not registered any more. */
    synchronized String replace() {
        int kept = random.nextInt(PART_SHARE) == 0 ? Math.min(2, engines.size() - 1) : 0;
        String version = drawVersion();
        List<Engine> replaced = List.copyOf(engines.subList(kept, engines.size()));
        StandInUpstream.Kill kill = drawKill();
        List.copyOf(lapsing).forEach(this::lapse);
        replaced.forEach(engine -> {
            unregister(engine, 0);
            engine.server().kill(kill);
            engines.remove(engine);
        });
        for (int index = kept; index < ENGINES; index++) {
            start(version);
        }
        return "all but " + kept + " engines at once, " + kill + ", to " + version;
    }

    /** Replaces all or some of the engines by ones of another version, which register first. */
    synchronized String release() {
        int count = random.nextInt(3) == 0 ? ENGINES : 1 + random.nextInt(ENGINES - 1);
        String version = drawVersion();
        List<Engine> order = new ArrayList<>(engines);
        Collections.shuffle(order, random);
        List<Engine> replaced = List.copyOf(order.subList(0, Math.min(count, order.size())));
        for (int index = 0; index < replaced.size(); index++) {
            start(version);
        }
        int overlapMillis = random.nextInt(MAX_OVERLAP_MILLIS);
        timer.schedule(() -> end(replaced), overlapMillis, TimeUnit.MILLISECONDS);
        return replaced.size() + " engines to " + version + " within " + overlapMillis + " ms";
    }

    private synchronized void end(List<Engine> replaced) {
        StandInUpstream.Kill kill = drawKill();
        // Those that were killed meanwhile have no registration and no connection left.
        replaced.stream().filter(engines::contains).forEach(engine -> kill(engine, kill));
    }

    /** Replaces one engine by one of the newest version, or of a further one if all have it; it serves for a while more. */
    synchronized String replaceNext() {
        if (count(newestVersion) == engines.size()) {
            drawVersion();
        }
        Engine old = engines.stream()
                .filter(engine -> !engine.identity().softwareVersion().equals(newestVersion))
                .findFirst()
                .orElseThrow();
        start(newestVersion);
        int millis = random.nextInt(MAX_OVERLAP_MILLIS);
        timer.schedule(() -> end(List.of(old)), millis, TimeUnit.MILLISECONDS);
        return old.identity() + " to " + newestVersion + " within " + millis + " ms";
    }

    /** Lets requests go to other engines before their first event: an engine is killed, or those of one version reset them. */
    synchronized String moveWaiting() {
        if (random.nextInt(MOVE_BY_KILL_SHARE) == 0) {
            return killOne();
        }
        String version = engines.get(random.nextInt(engines.size())).identity().softwareVersion();
        engines.stream()
                .filter(engine -> engine.identity().softwareVersion().equals(version))
                .forEach(engine -> engine.server().resetWaiting());
        return "reset of what waits at engines of " + version;
    }

    private String drawVersion() {
        boolean earlier = random.nextInt(EARLIER_VERSION_SHARE) == 0 && !earlierVersion.equals(newestVersion);
        String next = earlier ? earlierVersion : "v" + ++versions;
        earlierVersion = newestVersion;
        newestVersion = next;
        return next;
    }

    synchronized void stop() {
        engines.forEach(engine -> engine.server().stop());
    }
}
