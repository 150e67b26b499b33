package org.cowslipbank.decision.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.StreamOrigins.Report;

/** Failure guarded against: a stream goes on at another software version, or a sound one is refused. */
final class StreamOriginsTest {
    private static final String SERVICE = "llm";
    private static final long LIFE = StreamOrigins.STREAM_LIFE_MILLIS;

    private final StreamOrigins origins = new StreamOrigins("n1");

    private Optional<String> find(String request, long nowMillis) {
        return origins.find(SERVICE, request).or(() -> origins.onlyVersion(SERVICE, nowMillis));
    }

    /** Records a report of another node, whose number is the revision. */
    private void report(String version, String request, String node, long revision, long nowMillis) {
        origins.onReport(
                new Report(SERVICE, version, List.of(request)), new ReportSource(node, revision, revision), nowMillis);
    }

    private static Map<String, Long> registered(String... versions) {
        return Stream.of(versions).collect(Collectors.toMap(version -> version, version -> 1L));
    }

    @Example
    void streamsOfTheOnlyVersionAreKnownWithoutReports() {
        origins.onRegistered(SERVICE, registered("v1"), 0);
        origins.onBegun(SERVICE, "r1", "v1", "i-1", 10);
        assert find("r1", 20).equals(Optional.of("v1"));
        assert find("of another node", 20).equals(Optional.of("v1"));
        assert origins.takeUnreported(30).isEmpty();
    }

    @Example
    void nothingIsKnownBeforeTheUpstreamsAreRead() {
        assert find("r1", 0).isEmpty();
    }

    @Example
    void unknownStreamsOfAMixedServiceAreNotKnown() {
        origins.onRegistered(SERVICE, registered("v1", "v2"), 0);
        origins.onBegun(SERVICE, "r1", "v2", "i-1", 10);
        assert find("r1", 20).equals(Optional.of("v2"));
        assert find("of another node", 20).isEmpty();
    }

    /** The old version's last upstream leaves, but its streams can still be taken up. */
    @Example
    void versionThatLeftCountsForTheLifeOfItsStreams() {
        origins.onRegistered(SERVICE, registered("v1"), 0);
        origins.onRegistered(SERVICE, registered("v2"), 1_000);
        assert find("r1", 1_000 + LIFE - 1).isEmpty();
        assert find("r1", 1_000 + LIFE).equals(Optional.of("v2"));
    }

    @Example
    void streamsFromBeforeTheSecondVersionAreReported() {
        origins.onRegistered(SERVICE, registered("v1"), 0);
        origins.onBegun(SERVICE, "r1", "v1", "i-1", 10);
        assert origins.takeUnreported(400).isEmpty();
        origins.onRegistered(SERVICE, registered("v1", "v2"), 500);
        List<Report> reports = origins.takeUnreported(800);
        assert reports.contains(new Report(SERVICE, "v1", List.of("r1"))) : reports;
        assert reports.contains(new Report(SERVICE, "v2", List.of())) : reports;
        assert origins.takeUnreported(1_200).isEmpty();
        origins.onBegun(SERVICE, "r2", "v2", "i-1", 1_300);
        reports = origins.takeUnreported(1_600);
        assert reports.equals(List.of(new Report(SERVICE, "v2", List.of("r2")))) : reports;
    }

    /** All nodes were killed; the old version's upstreams have left meanwhile. */
    @Example
    void startedNodeKnowsTheVersionsFromReports() {
        report("v1", "r1", "n2", 5, 0);
        origins.onRegistered(SERVICE, registered("v2"), 0);
        assert find("r1", 10).equals(Optional.of("v1"));
        assert find("not reported", 10).isEmpty();
        assert find("not reported", LIFE + 1).equals(Optional.of("v2"));
    }

    @Example
    void lostReportsMakeUnreportedStreamsUnknown() {
        origins.onRegistered(SERVICE, registered("v2"), 0);
        origins.onReportsLost(0);
        assert find("r1", LIFE - 1).isEmpty();
        assert find("r1", LIFE).equals(Optional.of("v2"));
    }

    /** A node that is killed between the first event of a stream and its next report leaves the origin known. */
    @Example
    void requestsAreReportedWhenTheyAreSent() {
        origins.onRegistered(SERVICE, registered("v1", "v2"), 0);
        origins.takeUnreported(0);
        assert !origins.onSent(SERVICE, "r1", "v1", "i-1", 10);
        assert origins.takeUnreported(20).equals(List.of(new Report(SERVICE, "v1", List.of("r1"))));
        assert !origins.onSent(SERVICE, "r1", "v1", "i-1", 30);
        origins.onBegun(SERVICE, "r1", "v1", "i-1", 40);
        assert origins.takeUnreported(50).isEmpty();
    }

    /** The request's engine failed before its first event, and the next one has another version. */
    @Example
    void laterReportReplacesAnEarlierOne() {
        origins.onRegistered(SERVICE, registered("v1", "v2"), 0);
        origins.onSent(SERVICE, "r1", "v1", "i-1", 10);
        origins.takeUnreported(20);
        assert origins.onSent(SERVICE, "r1", "v2", "i-1", 30);
        assert origins.takeUnreported(40).equals(List.of(new Report(SERVICE, "v2", List.of("r1"))));
        // The node reads its own earlier report.
        report("v1", "r1", "n1", 9, 50);
        assert find("r1", 60).equals(Optional.of("v2"));
        report("v2", "of another node", "n2", 8, 50);
        report("v1", "of another node", "n2", 7, 60);
        assert find("of another node", 70).equals(Optional.of("v2"));
        report("v1", "of another node", "n2", 9, 80);
        assert find("of another node", 90).equals(Optional.of("v1"));
    }

    /** One report after another on the same request, as node, number, revision and version; and what is known then. */
    private record Told(String reports, String expected) {}

    private static final List<Told> TOLD = List.of(
            new Told("n2 1 5 v1", "v1"),
            new Told("n2 1 5 v1, n2 2 6 v2", "v2"),
            new Told("n2 2 6 v2, n2 1 5 v1", "v2"),
            new Told("n2 1 5 v1, n2 2 6 v2, n2 1 5 v1", "v2"),
            new Told("n2 1 5 v1, n2 2 6 v2, n2 3 7 v1", "v1"),
            new Told("n2 1 5 v1, n3 8 6 v1", "v1"),
            new Told("n2 1 5 v1, n3 8 6 v2", StreamOrigins.UNKNOWN_VERSION),
            new Told("n3 8 6 v2, n2 1 5 v1", StreamOrigins.UNKNOWN_VERSION),
            new Told("n2 1 5 v1, n3 8 6 v1, n2 2 7 v2", StreamOrigins.UNKNOWN_VERSION),
            // Once it is unknown, it stays so.
            new Told("n2 1 5 v1, n3 8 6 v2, n2 2 7 v2", StreamOrigins.UNKNOWN_VERSION),
            // The store has carried out the first write last.
            new Told("n2 2 5 v2, n2 1 6 v1", StreamOrigins.UNKNOWN_VERSION),
            new Told("n2 1 6 v1, n2 2 5 v2", StreamOrigins.UNKNOWN_VERSION),
            new Told("n2 2 5 v2, n2 1 6 v2", "v2"),
            new Told("n2 2 5 v2, n2 1 6 v2, n2 3 6 v1", StreamOrigins.UNKNOWN_VERSION),
            // One item names both.
            new Told("n2 1 5 v1, n2 1 5 v2", StreamOrigins.UNKNOWN_VERSION));

    /** Failure guarded against: a report that is the last one in the store, but not the last one sent, replaces another one. */
    @Example
    void reportsWhoseOrderIsNotCertainMakeTheVersionUnknown() {
        for (Told told : TOLD) {
            StreamOrigins reader = new StreamOrigins("n1");
            for (String text : told.reports().split(", ")) {
                String[] parts = text.split(" ");
                reader.onReport(
                        new Report(SERVICE, parts[3], List.of("r1")),
                        new ReportSource(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2])),
                        0);
            }
            assert reader.find(SERVICE, "r1").equals(Optional.of(told.expected())) : told;
        }
    }

    /** The request failed here, or was passed on by another node, which may have sent it elsewhere afterwards. */
    @Example
    void sentRequestIsNoEvidenceAgainstAReport() {
        origins.onRegistered(SERVICE, registered("v1", "v2"), 0);
        origins.onSent(SERVICE, "r1", "v1", "i-1", 10);
        origins.onPassedBack(SERVICE, "r2", "v1", "i-1", 10);
        for (String request : List.of("r1", "r2")) {
            assert !origins.hasBegun(request);
            // Its own report, which the store returns late, tells nothing new.
            report("v2", request, "n1", 4, 20);
            assert find(request, 20).equals(Optional.of("v1"));
            report("v2", request, "n2", 5, 20);
            assert find(request, 30).equals(Optional.of(StreamOrigins.UNKNOWN_VERSION));
        }
        origins.takeUnreported(40);
        origins.onBegun(SERVICE, "r1", "v1", "i-1", 50);
        assert origins.hasBegun("r1") && find("r1", 60).equals(Optional.of("v1"));
        assert origins.takeUnreported(60).isEmpty();
    }

    @Example
    void reportsDoNotChangeWhatThisNodeCarried() {
        origins.onRegistered(SERVICE, registered("v1", "v2"), 0);
        origins.onBegun(SERVICE, "r1", "v1", "i-1", 10);
        report("v2", "r1", "n2", 5, 20);
        assert find("r1", 30).equals(Optional.of("v1"));
    }

    @Example
    void nothingIsRecordedOfSentRequestsWithoutASecondVersion() {
        origins.onRegistered(SERVICE, registered("v1"), 0);
        assert !origins.onSent(SERVICE, "r1", "v1", "i-1", 10);
        origins.onRegistered(SERVICE, registered("v1", "v2"), 20);
        assert find("r1", 30).isEmpty();
    }

    @Example
    void undeliveredReportsAreTakenAgain() {
        origins.onRegistered(SERVICE, registered("v1", "v2"), 0);
        origins.onBegun(SERVICE, "r1", "v1", "i-1", 10);
        List<Report> reports = origins.takeUnreported(400);
        origins.reportAgain();
        assert Set.copyOf(origins.takeUnreported(800)).equals(Set.copyOf(reports));
    }

    @Example
    void reportsOfOtherNodesAreNotPassedOn() {
        origins.onRegistered(SERVICE, registered("v1", "v2"), 0);
        origins.takeUnreported(400);
        report("v1", "r1", "n2", 5, 500);
        assert origins.takeUnreported(800).isEmpty();
    }

    @Example
    void memoryIsBounded() {
        origins.onRegistered(SERVICE, registered("v1", "v2"), 0);
        for (int number = 0; number <= StreamOrigins.MAX_STREAMS; number++) {
            origins.onBegun(SERVICE, "r" + number, "v1", "i-1", 10);
        }
        assert find("r0", 20).isEmpty() && find("r1", 20).isPresent();
        origins.onBegun(SERVICE, "late", "v1", "i-1", 10 + LIFE);
        assert find("r1", 10 + LIFE).isEmpty();
        String longId = "r".repeat(StreamOrigins.MAX_ID_LENGTH + 1);
        origins.onBegun(SERVICE, longId, "v1", "i-1", 10 + LIFE);
        assert find(longId, 10 + LIFE).isEmpty();
    }

    /** A client takes its stream up several times in a row, so that the last time is long after the begin. */
    @Example
    void streamThatIsTakenUpIsRememberedFromThenOn() {
        origins.onRegistered(SERVICE, registered("v1", "v2"), 0);
        origins.onBegun(SERVICE, "r1", "v1", "i-1", 0);
        origins.takeUnreported(1);
        origins.onTakenUp(SERVICE, "r1", "v1", LIFE - 1);
        assert origins.takeUnreported(LIFE).equals(List.of(new Report(SERVICE, "v1", List.of("r1"))));
        origins.onBegun(SERVICE, "r2", "v2", "i-1", LIFE + 1);
        assert find("r1", LIFE + 1).equals(Optional.of("v1"));
    }

    /** Failure guarded against: a report that is replaced is told again as known, and overrides the right one. */
    @Example
    void reportThatIsReplacedAfterATakeUpIsCorrected() {
        origins.onRegistered(SERVICE, registered("v1", "v2"), 0);
        report("v1", "r1", "n2", 1, 0);
        origins.takeUnreported(1);
        origins.onTakenUp(SERVICE, "r1", "v1", 10);
        report("v2", "r1", "n2", 2, 20);
        assert find("r1", 20).equals(Optional.of("v2"));
        assert origins.takeUnreported(30).isEmpty();
    }

    /** An engine starts again in place with another version, and its new registration is read after a stream has begun. */
    @Example
    void streamsOfAnEngineThatStartedAgainAreOfNoKnownVersion() {
        origins.onRegistered(SERVICE, registered("v1"), 0);
        origins.onBegun(SERVICE, "early", "v1", "i-1", 0);
        origins.onBegun(SERVICE, "late", "v1", "i-1", StreamOrigins.REGISTRATION_MILLIS);
        origins.onBegun(SERVICE, "elsewhere", "v1", "i-2", StreamOrigins.REGISTRATION_MILLIS);
        origins.onStarted("i-1", "v2", StreamOrigins.REGISTRATION_MILLIS);
        origins.onRegistered(SERVICE, registered("v1", "v2"), StreamOrigins.REGISTRATION_MILLIS);
        assert find("early", 6_000).equals(Optional.of("v1"));
        assert find("late", 6_000).equals(Optional.of(StreamOrigins.UNKNOWN_VERSION));
        assert find("elsewhere", 6_000).equals(Optional.of("v1"));
        assert origins.takeUnreported(6_000)
                .contains(new Report(SERVICE, StreamOrigins.UNKNOWN_VERSION, List.of("late")));
    }

    /** The stream was taken up here before the new registration of the engine that began it was read. */
    @Example
    void restartIsNoticedAfterATakeUp() {
        origins.onRegistered(SERVICE, registered("v1", "v2"), 0);
        origins.onBegun(SERVICE, "r1", "v1", "i-1", 10);
        origins.onTakenUp(SERVICE, "r1", "v1", 20);
        origins.onStarted("i-1", "v2", 30);
        assert find("r1", 40).equals(Optional.of(StreamOrigins.UNKNOWN_VERSION)) : find("r1", 40);
    }
}
