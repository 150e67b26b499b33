package org.cowslipbank.soak;

import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;
import org.cowslipbank.platform.StandInFormats.Variant;

/** Failure guarded against: the soak lets an answer by an old configuration pass, or counts one by a new one as broken. */
final class RouteHistoryTest {
    private static final long APPLY_MILLIS = 3_000;

    private final AtomicLong nowMillis = new AtomicLong(10_000);
    private final RouteHistory routes = new RouteHistory(APPLY_MILLIS, nowMillis::get);

    private void write(int firstRoute) {
        routes.onWriting(Variant.USUAL.withIdleRoutes(firstRoute, 2));
        routes.onWritten();
    }

    @Example
    void addedRouteMayBeRefusedUntilItMustBeInForce() {
        write(0);
        nowMillis.set(20_000);
        write(1);
        assert routes.allows(2, 20_000 + APPLY_MILLIS, false);
        assert !routes.allows(2, 20_001 + APPLY_MILLIS, false);
        assert routes.allows(2, 20_001 + APPLY_MILLIS, true);
    }

    @Example
    void droppedRouteMayRunUntilThenAndNoOlderOneDoes() {
        write(0);
        nowMillis.set(20_000);
        write(1);
        assert routes.allows(0, 20_000 + APPLY_MILLIS, true);
        assert !routes.allows(0, 20_001 + APPLY_MILLIS, true);
        nowMillis.set(30_000);
        write(2);
        assert routes.allows(1, 30_000, true);
        assert !routes.allows(0, 30_000, true);
    }

    /** The store may have taken the configuration already. */
    @Example
    void routeOfAConfigurationThatIsBeingWrittenMayRun() {
        write(0);
        routes.onWriting(Variant.USUAL.withIdleRoutes(1, 2));
        assert routes.allows(2, 20_000, true) && routes.allows(2, 20_000, false);
    }
}
