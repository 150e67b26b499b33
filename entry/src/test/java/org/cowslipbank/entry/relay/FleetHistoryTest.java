package org.cowslipbank.entry.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.decision.relay.SoftwareVersions.Version;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.entry.relay.FeedMessages.PollAnswer;
import org.cowslipbank.entry.relay.FeedMessages.PollRequest;
import org.cowslipbank.model.relay.PlatformRecord;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.platform.MetadataItemDecoder;
import org.cowslipbank.ports.relay.MetadataStore.Changes;

/**
 * Failure guarded against: a node lacks a registration, a record of a software version or a report on a stream below the
 * revision that it counts as known, so that no later call brings it; or it counts as current for a request by an answer to a
 * call that was sent before the request was read. Hubs, members and the nodes' own calls act beside each other.
 */
final class FleetHistoryTest {
    private static final int STEPS = 80;
    private static final int NODES = 3;
    private static final int ENGINES = 3;
    private static final int STREAMS = 4;
    private static final int MAX_PAUSE_MILLIS = 300;

    /** What happens next. */
    private enum Action {
        /** An engine registers, writes a heartbeat, or starts again with another software version. */
        REGISTER,
        /** The registration of an engine ends. */
        UNREGISTER,
        /** A software version is recorded, or its record removed. */
        RECORD,
        /** A node reports where streams began. */
        REPORT,
        /** The store carries out a call of the node, or reads its first page, and does not answer yet. */
        CARRY_OUT,
        /** The store answers a call of the node. */
        ANSWER,
        /** A call of the node fails. */
        FAIL,
        /** The store drops its history. */
        COMPACT,
        /** The store comes back from a copy. */
        RESTORE,
        /** Another node becomes the node's hub. */
        FOLLOW,
        /** The node has no other hub any more. */
        LEAD,
        /** The node polls its hub; the answer is on its way. */
        POLL,
        /** The answer to a poll reaches the node. */
        DELIVER,
        /** A stream is taken up at the node. */
        REQUEST,
        /** The node is killed and starts again. */
        RESTART,
        /** Time passes. */
        PAUSE
    }

    /**
     * A step.
     *
     * @param action what happens
     * @param node number of the node
     * @param amount by how much, from 0 to 9
     */
    private record Step(Action action, int node, int amount) {}

    /** The present incarnation of an engine. */
    private record Engine(long startedAtMillis, int sequence, String softwareVersion, boolean registered) {}

    /** A report on the stream of one request. */
    private record Report(String request, String softwareVersion) {}

    /** A request that was read at a revision of the store. */
    private record Request(long stateReading, long storeRevision) {}

    /** A hub's answer that has not arrived yet. */
    private record Answer(PollAnswer answer, LeaderLease.ClockReading sentAt) {}

    /** Nodes beside a metadata store. */
    private static final class Fleet {
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final EventLoop loop = channel.eventLoop();
        private final ManualScheduler control = new ManualScheduler(10_000);
        private final Clocks clocks = new Clocks(control::nowMillis, control::nowMillis);
        private final DecisionLog log = PlatformStates.log();
        private final MetadataItemDecoder decoder = new MetadataItemDecoder();
        private final SharedStore store = new SharedStore();
        private final Engine[] engines = new Engine[ENGINES];
        private final Node[] nodes = new Node[NODES];
        /** What has been reported on streams, by key. */
        private final Map<String, Report> reports = new HashMap<>();

        private int written;
        private int takenFromHubs;
        private int requestsCurrent;

        /** A node that is a hub and may be a member. */
        private final class Node implements PlatformWatcher.Listener {
            private final SharedStore.Client calls = store.new Client();
            private final StreamOrigins origins = new StreamOrigins("n1");
            private final HubFeed feed = new HubFeed(loop, clocks, log);
            private final PlatformWatcher watcher = new PlatformWatcher(
                    calls, decoder, PlatformStates.create(decoder, origins, log), clocks, control, log, this);
            private final List<Answer> answers = new ArrayList<>();
            private final List<Request> requests = new ArrayList<>();
            private Optional<Integer> hub = Optional.empty();

            private void setHub(Optional<Integer> number) {
                hub = number;
            }

            private void pollHub() {
                hub.ifPresent(number -> {
                    Optional<Optional<PollAnswer>> polled =
                            nodes[number].answer(watcher.view().revision());
                    polled.flatMap(answer -> answer).ifPresent(answer -> answers.add(new Answer(answer, clocks.now())));
                    if (polled.isPresent() && polled.get().isEmpty()) {
                        hub = Optional.empty();
                    }
                });
            }

            /** Returns the answer to a poll, which is empty if the member has to ask the store; empty if the poll is held. */
            private Optional<Optional<PollAnswer>> answer(long memberRevision) {
                CompletableFuture<Optional<PollAnswer>> polled =
                        feed.poll(new PollRequest(memberRevision, Map.of())).toFuture();
                channel.runPendingTasks();
                Optional<Optional<PollAnswer>> answer = Optional.ofNullable(polled.getNow(null));
                polled.cancel(false);
                channel.runPendingTasks();
                return answer;
            }

            private void deliver(int index) {
                if (watcher.view().revision() == 0 || answers.isEmpty()) {
                    return;
                }
                Answer next = answers.remove(Math.min(index, answers.size() - 1));
                long reading = watcher.readings().newestApplied();
                watcher.onHubAnswer(next.answer(), next.sentAt());
                assert watcher.readings().newestApplied() == reading
                        : "a hub's answer counts as the node's own reading";
                takenFromHubs += next.answer().items().size();
            }

            private void onRequest() {
                requests.add(new Request(watcher.readings().next(), store.revision()));
                watcher.refresh();
            }

            @Override
            public void onView(PlatformView view) {}

            @Override
            public boolean followsHub() {
                return hub.isPresent();
            }

            @Override
            public void onChanges(
                    long fromRevision, Changes changes, ConfigurationConfirmation confirmed, long reconnectedMillis) {
                feed.onMetadataChanges(fromRevision, changes.items(), changes.revision(), confirmed, reconnectedMillis);
            }

            @Override
            public void onChangesMissed() {
                feed.onMetadataLost();
            }

            @Override
            public void onStoreRestored(boolean firstReading) {}

            private void check() {
                long revision = watcher.view().revision();
                requests.removeIf(request -> {
                    boolean current = watcher.readings().isApplied(request.stateReading());
                    assert !current || revision >= request.storeRevision()
                            : "current at " + revision + " for a request that was read at " + request.storeRevision();
                    requestsCurrent += current ? 1 : 0;
                    return current;
                });
                if (revision > 0) {
                    Map<String, StoreItem> due = store.itemsAt(revision);
                    due.values().forEach(item -> checkItem(item, revision));
                    latestReports(due).forEach((request, version) -> checkReport(request, version, revision));
                }
            }

            private void checkItem(StoreItem item, long revision) {
                PlatformRecord decoded = decoder.decode(item);
                boolean missing = decoded instanceof PlatformRecord.Registered registered && !store.isFromCopy(item)
                        ? !isKnown(registered.server())
                        : isRecord(item) && !isRecorded(item);
                // What a reading of two pages saw already may be newer than its revision.
                assert !missing || store.wasAbsent(item.key(), revision + 1, calls.readAheadRevision())
                        : "node at " + revision + " lacks " + item.key() + " of revision " + item.revision();
            }

            private boolean isKnown(UpstreamServer due) {
                UpstreamServer known = watcher.view().servers().get(due.id());
                return known != null
                        && known.startedAtMillis() >= due.startedAtMillis()
                        && (known.startedAtMillis() > due.startedAtMillis()
                                || known.softwareVersion().equals(due.softwareVersion()))
                        && origins.onlyVersion("llm", control.nowMillis())
                                .filter(only -> !only.equals(known.softwareVersion()))
                                .isEmpty();
            }

            private boolean isRecorded(StoreItem record) {
                Version version =
                        new Version("llm", record.key().substring(record.key().length() - 2));
                OptionalLong known = origins.versions().recordRevision(version);
                return known.isPresent()
                        && known.getAsLong() >= record.revision()
                        && origins.onlyVersion("llm", control.nowMillis())
                                .filter(only -> !only.equals(version.softwareVersion()))
                                .isEmpty();
            }

            private void checkReport(String request, String version, long revision) {
                Optional<String> known = origins.find("llm", request);
                if (known.equals(Optional.of(version))) {
                    return;
                }
                boolean mayBeNewer = latestReports(store.itemsAt(calls.readAheadRevision()))
                        .getOrDefault(request, version)
                        .equals(known.orElse(""));
                assert calls.readAheadRevision() > revision && mayBeNewer
                        : "node at " + revision + " knows " + known + " of " + request + " in place of " + version;
            }
        }

        private Map<String, String> latestReports(Map<String, StoreItem> items) {
            Map<String, String> versionByRequest = new HashMap<>();
            items.values().stream()
                    .filter(item -> reports.containsKey(item.key()))
                    .sorted(Comparator.comparingLong(StoreItem::revision))
                    .map(item -> reports.get(item.key()))
                    .forEach(report -> versionByRequest.put(report.request(), report.softwareVersion()));
            return versionByRequest;
        }

        private static boolean isRecord(StoreItem item) {
            return PlatformStates.ITEMS.isSoftwareKey(item.key());
        }

        private void run(List<Step> steps) {
            store.put("op/config", RelaySystem.configuration(1, "\"key\""));
            for (int number = 0; number < NODES; number++) {
                startNode(number);
            }
            for (Step step : steps) {
                run(step);
                nodes[step.node()].check();
            }
        }

        private void startNode(int number) {
            nodes[number] = new Node();
            nodes[number].watcher.start();
            nodes[number].calls.answer(0);
        }

        private void run(Step step) {
            Node node = nodes[step.node()];
            int amount = step.amount();
            int call = amount % 3 == 0 ? node.calls.calls() - 1 : 0;
            switch (step.action()) {
                case REGISTER -> register(amount % ENGINES, amount / ENGINES);
                case UNREGISTER -> unregister(amount % ENGINES);
                case RECORD -> record("v" + (1 + amount % 2), amount / 2);
                case REPORT -> report(step.node(), amount);
                case CARRY_OUT -> node.calls.carryOut(call);
                case ANSWER -> node.calls.answer(call);
                case FAIL -> node.calls.fail(call);
                case COMPACT -> store.compact();
                case RESTORE -> restore(amount);
                case FOLLOW -> node.setHub(Optional.of((step.node() + 1 + amount % 2) % NODES));
                case LEAD -> node.setHub(Optional.empty());
                case POLL -> node.pollHub();
                case DELIVER -> node.deliver(amount % 2);
                case REQUEST -> node.onRequest();
                case RESTART -> {
                    node.watcher.stop();
                    startNode(step.node());
                }
                default -> control.advance(amount * MAX_PAUSE_MILLIS / 9);
            }
        }

        private void register(int number, int amount) {
            Engine known = engines[number];
            boolean startsAgain = known == null || amount == 0;
            long startedAtMillis = startsAgain ? ++written : known.startedAtMillis();
            int sequence = startsAgain ? 0 : known.sequence() + 1;
            String version = startsAgain ? "v" + (1 + written % 2) : known.softwareVersion();
            engines[number] = new Engine(startedAtMillis, sequence, version, true);
            store.put(
                    "servers/i-" + number,
                    """
                {"Service":"llm","Address":"10.0.0.%d:80","Zone":"a","Slots":16,"State":"ready","born":%d,"Sequence":%d,
                 "Version":"%s","Models":[]}
                """
                            .formatted(number + 1, startedAtMillis, sequence, version));
        }

        private void unregister(int number) {
            Engine known = engines[number];
            if (known != null && known.registered()) {
                engines[number] = new Engine(known.startedAtMillis(), known.sequence(), known.softwareVersion(), false);
                store.remove("servers/i-" + number);
            }
        }

        private void record(String version, int amount) {
            String key = "cowslipbank/software/" + version;
            if (amount == 0) {
                store.remove(key);
            } else {
                store.put(key, "{\"service\":\"llm\",\"softwareVersion\":\"" + version + "\"}");
            }
        }

        private void report(int node, int amount) {
            Report report = new Report("r" + amount % STREAMS, "v" + (1 + amount % 2));
            String key = "cowslipbank/streams/n" + node + "/1." + ++written;
            reports.put(key, report);
            // Hubs do not pass long values on.
            String padding = amount == 0 ? " ".repeat(HubFeed.MAX_VALUE_BYTES) : "";
            store.put(key, "{\"llm\":{\"" + report.softwareVersion() + "\":[\"" + report.request() + "\"]}}" + padding);
        }

        /** The operator and the engines that run write again what was lost. */
        private void restore(int lostChanges) {
            store.restore(lostChanges);
            store.put("op/config", RelaySystem.configuration(1, "\"key\""));
            IntStream.range(0, ENGINES)
                    .filter(number -> engines[number] != null && engines[number].registered())
                    .forEach(number -> register(number, 1));
        }
    }

    private static List<Step> at(int node, Action... actions) {
        return List.of(actions).stream()
                .map(action -> new Step(action, node, 0))
                .toList();
    }

    /** Failure guarded against: the checks hold because hubs pass nothing on, or no request is current. */
    @Example
    void membersLearnFromHubsAndAskTheStore() {
        List<Step> steps = new ArrayList<>(at(1, Action.FOLLOW, Action.REGISTER));
        steps.addAll(at(2, Action.ANSWER, Action.REGISTER));
        steps.add(new Step(Action.PAUSE, 2, 9));
        steps.addAll(at(2, Action.ANSWER));
        steps.addAll(at(1, Action.POLL, Action.DELIVER, Action.REQUEST));
        steps.add(new Step(Action.PAUSE, 1, 9));
        steps.add(new Step(Action.ANSWER, 1, 0));
        Fleet fleet = new Fleet();
        fleet.run(steps);
        assert fleet.takenFromHubs > 0 && fleet.requestsCurrent > 0 : fleet.takenFromHubs + " " + fleet.requestsCurrent;
    }

    /** The second page of a reading has the new registration already; the next watch begins before the end of the last one. */
    @Example
    void registrationThatEndedAndCameBackWithinAReadingIsKnown() {
        List<Step> steps = new ArrayList<>(at(1, Action.REGISTER, Action.COMPACT, Action.ANSWER));
        steps.add(new Step(Action.REGISTER, 1, 1));
        steps.add(new Step(Action.CARRY_OUT, 1, 0));
        steps.add(new Step(Action.UNREGISTER, 1, 1));
        steps.add(new Step(Action.REGISTER, 1, 1 + ENGINES));
        steps.addAll(at(1, Action.ANSWER, Action.ANSWER));
        new Fleet().run(steps);
    }

    @Property(tries = 1_000, seed = "63")
    void nodesLackNothingBelowTheirRevision(@ForAll("steps") List<Step> steps) {
        Fleet fleet = new Fleet();
        fleet.run(steps);
        Statistics.label("items from hubs").collect(fleet.takenFromHubs > 0);
        Statistics.label("current").collect(fleet.requestsCurrent > 0);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Action> actions = Arbitraries.frequency(
                Tuple.of(6, Action.REGISTER),
                Tuple.of(3, Action.UNREGISTER),
                Tuple.of(2, Action.RECORD),
                Tuple.of(3, Action.REPORT),
                Tuple.of(6, Action.CARRY_OUT),
                Tuple.of(20, Action.ANSWER),
                Tuple.of(1, Action.FAIL),
                Tuple.of(1, Action.COMPACT),
                Tuple.of(1, Action.RESTORE),
                Tuple.of(4, Action.FOLLOW),
                Tuple.of(3, Action.LEAD),
                Tuple.of(10, Action.POLL),
                Tuple.of(10, Action.DELIVER),
                Tuple.of(3, Action.REQUEST),
                Tuple.of(1, Action.RESTART),
                Tuple.of(10, Action.PAUSE));
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, NODES - 1);
        Arbitrary<Integer> amounts = Arbitraries.integers().between(0, 9);
        return Combinators.combine(actions, numbers, amounts)
                .as(Step::new)
                .list()
                .ofSize(STEPS);
    }
}
