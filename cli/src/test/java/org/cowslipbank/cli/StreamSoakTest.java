package org.cowslipbank.cli;

import net.jqwik.api.Example;
import org.cowslipbank.soak.SoakRun;

/** A short soak of streams that clients take up, with a fixed seed; the long ones are run by hand, see docs/soak.md. */
final class StreamSoakTest {
    /** Failure guarded against: a stream goes on at another software version, or ends before its last event. */
    @Example
    void streamsKeepTheirOrder() throws Exception {
        SoakTest.assertHolds(SoakRun.Kind.STREAMS, SoakRun.Outcome::otherGuaranteesHeld);
    }
}
