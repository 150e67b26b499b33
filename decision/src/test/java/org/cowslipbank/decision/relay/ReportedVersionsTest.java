package org.cowslipbank.decision.relay;

import java.util.List;

import net.jqwik.api.Example;

/** Failure guarded against: a client gets events of a version although a report of another one may stay the newest. */
final class ReportedVersionsTest {
    private final ReportedVersions reported = new ReportedVersions();

    private List<StreamOrigins.Report> take(String request, String version, long nowMillis) {
        List<StreamOrigins.Report> reports = List.of(new StreamOrigins.Report("llm", version, List.of(request)));
        return reported.take(() -> reports, nowMillis);
    }

    @Example
    void requestWithoutAReportNeedsNone() {
        assert reported.allows("r", "v1") && reported.allows("r", "v2");
    }

    @Example
    void reportThatWasTakenCountsWhetherAcknowledgedOrNot() {
        List<StreamOrigins.Report> first = take("r", "v1", 0);
        assert reported.allows("r", "v1") && !reported.allows("r", "v2");
        reported.onAcknowledged(first);
        assert reported.allows("r", "v1") && !reported.allows("r", "v2");
    }

    @Example
    void otherVersionIsAllowedOnceItsReportIsAcknowledged() {
        take("r", "v1", 0);
        List<StreamOrigins.Report> second = take("r", "v2", 1);
        assert !reported.allows("r", "v1") && !reported.allows("r", "v2");
        assert reported.isLast("r", "v2") && !reported.isLast("r", "v1");
        reported.onAcknowledged(second);
        assert !reported.allows("r", "v1") && reported.allows("r", "v2");
    }

    /** The write of v2 was lost or is late, so that the store may get it. */
    @Example
    void returnToTheFirstVersionNeedsAnAcknowledgementToo() {
        reported.onAcknowledged(take("r", "v1", 0));
        take("r", "v2", 1);
        List<StreamOrigins.Report> third = take("r", "v1", 2);
        assert !reported.allows("r", "v1");
        reported.onAcknowledged(third);
        assert reported.allows("r", "v1");
    }

    @Example
    void acknowledgementOfAnEarlierVersionAllowsNothing() {
        List<StreamOrigins.Report> first = take("r", "v1", 0);
        reported.onPassedOn("r", 1);
        reported.onAcknowledged(first);
        assert !reported.allows("r", "v1") && !reported.allows("r", "v2");
        reported.onAcknowledged(take("r", "v2", 2));
        assert reported.allows("r", "v2") && !reported.allows("r", "v1");
    }

    @Example
    void whatCannotBeTakenUpAnyMoreIsForgotten() {
        take("r", "v1", 0);
        take("s", "v1", StreamOrigins.STREAM_LIFE_MILLIS);
        assert reported.allows("r", "v2") && !reported.allows("s", "v2");
        for (int number = 0; number < StreamOrigins.MAX_STREAMS; number++) {
            take("t" + number, "v1", StreamOrigins.STREAM_LIFE_MILLIS);
        }
        assert reported.allows("s", "v2") && !reported.allows("t0", "v2");
    }

    /** Failure guarded against: an answer waits for a report that no node makes. */
    @Example
    void requestWithALongIdentifierNeedsNoReport() {
        String request = "r".repeat(StreamOrigins.MAX_ID_LENGTH + 1);
        reported.onPassedOn(request, 0);
        assert reported.allows(request, "v1");
    }
}
