package org.cowslipbank.decision.relay;

import java.util.OptionalLong;

import net.jqwik.api.Example;

/** Failure guarded against: an older configuration counts as the newest one after the store was restored from a copy. */
final class RestoreSettlingTest {
    private static final OptionalLong NO_MARK = OptionalLong.empty();

    private final RestoreSettling settling = new RestoreSettling();

    @Example
    void firstStartOfTheSystemIsSettled() {
        assert !settling.onRead(1, NO_MARK, 1_000);
        assert settling.isSettled(1_000) && !settling.isRestored();
        assert settling.eraToMark(1_000).equals(OptionalLong.of(1));
        settling.onMarked(1);
        assert settling.eraToMark(1_000).isEmpty();
    }

    /** A store may name no era, or era 0, until its first restore. */
    @Example
    void storeBeforeItsFirstRestoreIsSettledAndMarked() {
        assert !settling.onRead(0, NO_MARK, 1_000);
        assert settling.isSettled(1_000) && !settling.isRestored();
        assert settling.eraToMark(1_000).equals(OptionalLong.of(0));
        settling.onMarked(0);
        assert settling.eraToMark(1_000).isEmpty();
    }

    @Example
    void nodeThatStartsAfterTheFirstRestoreWaits() {
        assert settling.onRead(1, OptionalLong.of(0), 9_000);
        assert !settling.isSettled(9_100) && settling.isRestored();
    }

    @Example
    void runningNodeWaitsForLostWritesAfterARestore() {
        settling.onRead(1, OptionalLong.of(1), 1_000);
        assert settling.onRead(2, OptionalLong.of(1), 9_000);
        assert !settling.isSettled(9_000 + RestoreSettling.REWRITE_MILLIS - 1);
        assert settling.eraToMark(9_000 + RestoreSettling.REWRITE_MILLIS - 1).isEmpty();
        assert settling.isSettled(9_000 + RestoreSettling.REWRITE_MILLIS);
        assert settling.eraToMark(9_000 + RestoreSettling.REWRITE_MILLIS).equals(OptionalLong.of(2));
    }

    /** The mark is for nodes that do not know the configuration from before, so it waits for all lost writes. */
    @Example
    void writtenConfigurationSettlesButDoesNotMark() {
        settling.onRead(1, OptionalLong.of(1), 1_000);
        settling.onRead(2, OptionalLong.of(1), 9_000);
        settling.onConfigurationWritten(9_500);
        assert settling.isSettled(9_500);
        assert settling.eraToMark(9_500).isEmpty();
    }

    @Example
    void nodeThatStartsAfterARestoreWaitsToo() {
        assert settling.onRead(2, OptionalLong.of(1), 9_000);
        assert !settling.isSettled(9_100) && settling.isRestored();
    }

    @Example
    void nodeThatStartsLongAfterARestoreDoesNotWait() {
        assert !settling.onRead(2, OptionalLong.of(2), 60_000);
        assert settling.isSettled(60_000);
    }

    @Example
    void laterReadingsOfTheSameEraChangeNothing() {
        settling.onRead(2, OptionalLong.of(1), 9_000);
        assert !settling.onRead(2, OptionalLong.of(1), 9_500);
        assert settling.isSettled(9_000 + RestoreSettling.REWRITE_MILLIS);
    }
}
