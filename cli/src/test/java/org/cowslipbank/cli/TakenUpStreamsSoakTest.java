package org.cowslipbank.cli;

import net.jqwik.api.Example;
import org.cowslipbank.soak.SoakRun;

/** The soak of {@link StreamSoakTest}, checked for refusals. */
final class TakenUpStreamsSoakTest {
    /** Failure guarded against: streams that clients take up are refused while new ones begin. */
    @Example
    void streamsThatAreTakenUpGoOn() throws Exception {
        SoakTest.assertHolds(SoakRun.Kind.STREAMS, outcome -> !outcome.tooFewTakenUp());
    }
}
