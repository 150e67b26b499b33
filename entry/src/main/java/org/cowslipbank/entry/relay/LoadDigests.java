package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import org.cowslipbank.decision.relay.BrittleUpstreams;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.FleetTree;
import org.cowslipbank.decision.relay.NamedVersions;
import org.cowslipbank.decision.relay.UpstreamLimits;
import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.decision.relay.UpstreamNotices;
import org.cowslipbank.decision.relay.UpstreamReachability;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.relay.UpstreamServer;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import reactor.netty.resources.LoopResources;

/**
 * Exchanges with other nodes what each has in flight at upstreams, in small datagrams along the {@link FleetTree}. Lost
 * datagrams are not repeated; the next round replaces them. Runs on the traffic thread.
 */
final class LoadDigests {
    /** Interval of rounds; long prompts are read within 50 to 200 ms, and control traffic is limited to 2 KB/s. */
    static final long ROUND_INTERVAL_MILLIS = 180;

    /** Upstreams per datagram; at 17 bytes per entry or less it stays below 1,400 bytes and is not fragmented. */
    static final int MAX_ENTRIES_PER_DATAGRAM = 80;

    /** Names of weight versions per digest; further ones follow with the next names. */
    static final int MAX_NAMES = 10;

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private final RegisteredNode self;
    private final Supplier<PlatformView> view;
    private final UpstreamLoads ownLoads;
    private final FleetLoads fleetLoads;
    private final UpstreamNotices notices;
    private final UpstreamReachability reachability;
    private final Names names;
    private final Clocks clocks;
    private final LoopTurnTracker turns;
    private final DecisionLog log;
    private Channel channel;
    private boolean wasIdle;
    private long round;

    /**
     * What nodes tell each other about upstreams.
     *
     * @param ownLoads this node's load
     * @param fleetLoads load of the other nodes
     * @param notices what upstreams say of themselves
     * @param reachability when nodes had contact with upstreams
     */
    record Exchanged(
            UpstreamLoads ownLoads,
            FleetLoads fleetLoads,
            UpstreamNotices notices,
            UpstreamReachability reachability) {}

    /**
     * Weight versions that operators named.
     *
     * @param boundMillis time within which a version must be in force, in milliseconds
     * @param onTold takes over what another node tells: hash of the model's name, and the name
     */
    record Names(long boundMillis, BiConsumer<Integer, NamedVersions.Name> onTold) {}

    /**
     * A digest, encoded as an array; {@code node} is a hash of the sender's name. Earlier builds send and read a tenth
     * element, the shared parts at engines: arrays of two hashes and an age. A further field follows it, with nil in its place.
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"scope", "node", "part", "work", "limits", "leaving", "contactAgeMillis", "brittle", "names"})
    @JsonIgnoreProperties(ignoreUnknown = true)
    record LoadDigest(
            FleetLoads.Scope scope,
            int node,
            int part,
            List<Entry> work,
            List<LimitEntry> limits,
            List<Integer> leaving,
            Long contactAgeMillis,
            List<BrittleEntry> brittle,
            List<NameEntry> names) {}

    /** A weight version that operators named, encoded as an array; {@code model} is a hash of the model's name. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"model", "version", "ageMillis"})
    record NameEntry(int model, long version, long ageMillis) {
        private boolean isPlausible() {
            return version >= 0 && ageMillis >= 0;
        }
    }

    /** Limit of one upstream, encoded as an array; a rate below zero says that it no longer names one. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"upstream", "requestsPerSecond", "ageMillis"})
    record LimitEntry(int upstream, double requestsPerSecond, long ageMillis) {
        private static final double NONE = -1;

        static LimitEntry of(UpstreamLimits.Observation observation) {
            return new LimitEntry(
                    observation.upstream(), observation.requestsPerSecond().orElse(NONE), observation.ageMillis());
        }

        boolean isPlausible() {
            return Double.isFinite(requestsPerSecond);
        }

        UpstreamLimits.Observation decode() {
            OptionalDouble rate = requestsPerSecond < 0 ? OptionalDouble.empty() : OptionalDouble.of(requestsPerSecond);
            return new UpstreamLimits.Observation(upstream, rate, ageMillis);
        }
    }

    /** Rejections that one upstream withstands, encoded as an array; below zero if it no longer names a number. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"upstream", "maxRejectionsPerSecond", "ageMillis"})
    record BrittleEntry(int upstream, int maxRejectionsPerSecond, long ageMillis) {
        private static final int NONE = -1;

        private boolean isPlausible() {
            return maxRejectionsPerSecond >= NONE && ageMillis >= 0;
        }

        static BrittleEntry of(BrittleUpstreams.Observation observation) {
            return new BrittleEntry(
                    observation.upstream(), observation.maxRejectionsPerSecond().orElse(NONE), observation.ageMillis());
        }

        BrittleUpstreams.Observation decode() {
            return new BrittleUpstreams.Observation(
                    upstream,
                    maxRejectionsPerSecond < 0 ? OptionalInt.empty() : OptionalInt.of(maxRejectionsPerSecond),
                    ageMillis);
        }
    }

    /** Load at one upstream, encoded as an array; {@code server} is a hash of the upstream's identifier. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"server", "requests", "tokens", "unreadTokens"})
    record Entry(int server, int requests, long tokens, long unreadTokens) {
        /** Far above the load of one upstream; sums over all nodes do not overflow. */
        private static final long MAX_TOKENS = 1L << 40;

        private static final int MAX_REQUESTS = 1_000_000;

        boolean isPlausible() {
            return requests >= 0
                    && requests <= MAX_REQUESTS
                    && tokens >= 0
                    && tokens <= MAX_TOKENS
                    && unreadTokens >= 0
                    && unreadTokens <= MAX_TOKENS;
        }
    }

    LoadDigests(
            RegisteredNode self,
            Supplier<PlatformView> view,
            Exchanged exchanged,
            Names names,
            Clocks clocks,
            LoopTurnTracker turns,
            DecisionLog log) {
        this.self = self;
        this.view = view;
        this.ownLoads = exchanged.ownLoads();
        this.fleetLoads = exchanged.fleetLoads();
        this.notices = exchanged.notices();
        this.reachability = exchanged.reachability();
        this.names = names;
        this.clocks = clocks;
        this.turns = turns;
        this.log = log;
    }

    void listen(LoopResources loops, EventLoop loop) throws PeerException {
        Class<? extends Channel> type = loops.onChannelClass(DatagramChannel.class, loops.onServer(true));
        try {
            channel = new Bootstrap()
                    .group(loop)
                    .channel(type)
                    .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                            onPacket(packet);
                        }

                        @Override
                        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                            // ICMP errors of unreachable nodes arrive here; later datagrams are not affected.
                            log.logRequest(LogFields.event("load digest not delivered; the next round replaces it")
                                    .error(cause));
                        }
                    })
                    .bind(SocketAddresses.parse(self.digestAddress()))
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PeerException(ProcessingStep.SETTINGS, self.digestAddress(), RunState.NOT_RUN, "interrupted", e);
        }
        loop.execute(() -> turns.expectEvent(clocks.nowMillis() + ROUND_INTERVAL_MILLIS));
        loop.scheduleAtFixedRate(
                new GuardedTask("load digests", this::sendRound, log),
                ROUND_INTERVAL_MILLIS,
                ROUND_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void sendRound() {
        turns.onEvent();
        turns.expectEvent(clocks.nowMillis() + ROUND_INTERVAL_MILLIS);
        fleetLoads.expire(clocks.nowMillis());
        PlatformView platform = view.get();
        Map<Integer, FleetLoads.Load> work = work(platform);
        FleetTree tree = platform.tree();
        boolean hub = tree.isHub(self.name());
        Map<Integer, FleetLoads.Load> group = hub ? fleetLoads.groupTotal(work) : work;
        boolean withoutWork = hub ? fleetLoads.total(work).isEmpty() : work.isEmpty();
        boolean idle = withoutWork
                && reachability
                        .ageToReport(source -> hub && source.scope() == FleetLoads.Scope.NODE, clocks.nowMillis())
                        .isEmpty();
        // An idle node sends one empty digest and then none; the empty one expires at the receivers.
        if (idle && wasIdle) {
            return;
        }
        wasIdle = idle;
        round++;
        if (hub) {
            tree.otherHubs(self.name()).forEach(name -> send(platform, name, FleetLoads.Scope.GROUP, group));
            for (String name : tree.members(self.name())) {
                int member = FleetLoads.shortHash(name);
                if (fleetLoads.isDue(member, round)) {
                    send(platform, name, FleetLoads.Scope.OTHERS, fleetLoads.totalExcept(work, member));
                }
            }
        } else {
            send(platform, tree.hubOf(self.name()), FleetLoads.Scope.NODE, work);
        }
        channel.flush();
    }

    private Map<Integer, FleetLoads.Load> work(PlatformView platform) {
        Map<Integer, FleetLoads.Load> work = new HashMap<>();
        for (UpstreamServer server : platform.servers().values()) {
            FleetLoads.Load load = ownLoads.inFlight(server.incarnation());
            if (load.requests() > 0) {
                work.merge(FleetLoads.shortHash(server.id()), load, FleetLoads.Load::plus);
            }
        }
        return work;
    }

    private void send(PlatformView platform, String name, FleetLoads.Scope scope, Map<Integer, FleetLoads.Load> work) {
        RegisteredNode node = platform.nodes().get(name);
        if (node == null || name.equals(self.name()) || node.digestAddress().isEmpty()) {
            return;
        }
        // The number depends on the known upstreams only, so that an upstream usually stays in the same datagram.
        int datagrams = 1 + platform.servers().size() / MAX_ENTRIES_PER_DATAGRAM;
        List<List<Entry>> entries = new ArrayList<>();
        for (int part = 0; part < datagrams; part++) {
            entries.add(new ArrayList<>());
        }
        work.forEach((server, load) -> entries.get(Math.floorMod(server, datagrams))
                .add(new Entry(server, load.requests(), load.tokens(), load.unreadTokens())));
        List<List<LimitEntry>> limitEntries = limitEntries(datagrams);
        List<Integer> leaving = notices.leavingToTell(clocks.nowMillis());
        OptionalLong contact = reachability.ageToReport(source -> isPassedOn(source, scope, name), clocks.nowMillis());
        Long contactAgeMillis = contact.isPresent() ? contact.getAsLong() : null;
        List<BrittleUpstreams.Observation> brittle = notices.brittle().observations(clocks.nowMillis());
        for (int part = 0; part < datagrams; part++) {
            LoadDigest digest = new LoadDigest(
                    scope,
                    FleetLoads.shortHash(self.name()),
                    part,
                    entries.get(part),
                    limitEntries.get(part),
                    leavingOfPart(leaving, part, datagrams),
                    contactAgeMillis,
                    brittleOfPart(brittle, part, datagrams),
                    part == 0 ? nameEntries(platform) : List.of());
            ByteBuf content = Unpooled.wrappedBuffer(encode(digest));
            channel.write(
                    new DatagramPacket(content, SocketAddresses.parse(node.digestAddress())), channel.voidPromise());
        }
    }

    /** Returns whether the contact reported by a source is passed on in a digest. */
    private static boolean isPassedOn(FleetLoads.Source source, FleetLoads.Scope scope, String receiver) {
        return switch (scope) {
            case NODE -> false;
            case GROUP -> source.scope() == FleetLoads.Scope.NODE;
            case OTHERS -> source.node() != FleetLoads.shortHash(receiver);
        };
    }

    private static List<Integer> leavingOfPart(List<Integer> leaving, int part, int datagrams) {
        return leaving.stream()
                .filter(key -> Math.floorMod(key, datagrams) == part)
                .limit(MAX_ENTRIES_PER_DATAGRAM)
                .toList();
    }

    private List<NameEntry> nameEntries(PlatformView platform) {
        long nowMillis = clocks.nowMillis();
        return platform.versions().values().stream()
                .flatMap(versions -> versions.namesToTell(names.boundMillis(), nowMillis).stream()
                        .map(name -> new NameEntry(
                                FleetLoads.shortHash(versions.model()), name.version(), nowMillis - name.atMillis())))
                .sorted(Comparator.comparingLong(NameEntry::ageMillis))
                .limit(MAX_NAMES)
                .toList();
    }

    private static List<BrittleEntry> brittleOfPart(
            List<BrittleUpstreams.Observation> observations, int part, int datagrams) {
        return observations.stream()
                .filter(observation -> Math.floorMod(observation.upstream(), datagrams) == part)
                .map(BrittleEntry::of)
                .toList();
    }

    private List<List<LimitEntry>> limitEntries(int datagrams) {
        List<List<LimitEntry>> byPart = new ArrayList<>();
        for (int part = 0; part < datagrams; part++) {
            byPart.add(new ArrayList<>());
        }
        notices.limits().observations(clocks.nowMillis()).forEach(observation -> byPart.get(
                        Math.floorMod(observation.upstream(), datagrams))
                .add(LimitEntry.of(observation)));
        return byPart;
    }

    private void onPacket(DatagramPacket packet) {
        turns.onEvent();
        try {
            LoadDigest digest = decode(ByteBufUtil.getBytes(packet.content()));
            Map<Integer, FleetLoads.Load> byServer = new HashMap<>();
            digest.work()
                    .forEach(entry -> byServer.put(
                            entry.server(),
                            new FleetLoads.Load(entry.requests(), entry.tokens(), entry.unreadTokens())));
            fleetLoads.onDigest(
                    new FleetLoads.Source(digest.scope(), digest.node(), digest.part()), byServer, clocks.nowMillis());
            // Nodes of an earlier release send no limits, no leaving and no brittle upstreams, and no names.
            List<LimitEntry> limits = digest.limits() == null ? List.of() : digest.limits();
            limits.forEach(entry -> notices.limits().onObservation(entry.decode(), clocks.nowMillis()));
            List<Integer> leaving = digest.leaving() == null ? List.of() : digest.leaving();
            leaving.forEach(key -> notices.onLeavingTold(key, clocks.nowMillis()));
            if (digest.contactAgeMillis() != null) {
                reachability.onReport(
                        new FleetLoads.Source(digest.scope(), digest.node(), digest.part()),
                        digest.contactAgeMillis(),
                        clocks.nowMillis());
            }
            List<BrittleEntry> brittle = digest.brittle() == null ? List.of() : digest.brittle();
            brittle.forEach(entry -> notices.brittle().onObservation(entry.decode(), clocks.nowMillis()));
            List<NameEntry> named = digest.names() == null ? List.of() : digest.names();
            long receivedMillis = clocks.nowMillis();
            named.forEach(entry -> names.onTold()
                    .accept(
                            entry.model(),
                            new NamedVersions.Name(entry.version(), receivedMillis - entry.ageMillis(), true)));
        } catch (IOException e) {
            log.logRequest(LogFields.event("cannot decode load digest; ignored")
                    .peer(String.valueOf(packet.sender()))
                    .error(e));
        }
    }

    static LoadDigest decode(byte[] bytes) throws IOException {
        LoadDigest digest = MessagePackReader.read(MAPPER, bytes, LoadDigest.class);
        if (digest.scope() == null || digest.work() == null) {
            throw new IOException("load digest lacks the field scope or work");
        }
        if (!digest.work().stream().allMatch(entry -> entry != null && entry.isPlausible())) {
            throw new IOException("load digest has an entry without a plausible load");
        }
        if (digest.limits() != null
                && !digest.limits().stream().allMatch(entry -> entry != null && entry.isPlausible())) {
            throw new IOException("load digest has a limit that is no number");
        }
        if (digest.brittle() != null
                && !digest.brittle().stream().allMatch(entry -> entry != null && entry.isPlausible())) {
            throw new IOException("load digest has a limit of rejections that is no number");
        }
        if (digest.names() != null
                && !digest.names().stream().allMatch(entry -> entry != null && entry.isPlausible())) {
            throw new IOException("load digest has a weight version without a plausible age");
        }
        if (digest.contactAgeMillis() != null && digest.contactAgeMillis() < UpstreamReachability.QUERY) {
            throw new IOException("load digest has a contact age below zero");
        }
        if (digest.leaving() != null && digest.leaving().contains(null)) {
            throw new IOException("load digest names no upstream that leaves");
        }
        return digest;
    }

    private static byte[] encode(LoadDigest digest) {
        try {
            return MAPPER.writeValueAsBytes(digest);
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode load digest", e);
        }
    }
}
