package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.OptionalLong;

import net.jqwik.api.Example;
import org.cowslipbank.ports.relay.EngineControl.CacheChange;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;

final class CacheChangeLogTest {
    private static final CacheChange FIRST = new CacheChange(true, "s", "a", 10);
    private static final CacheChange SECOND = new CacheChange(true, "s", "b", 20);
    private static final CacheChange REMOVED = new CacheChange(false, "s", "a", 0);

    private final CacheChangeLog log = new CacheChangeLog(1_000);

    private CacheChanges since(long number) {
        return log.since(number, OptionalLong.empty());
    }

    /** Failure guarded against: a reader misses a change, or gets it twice. */
    @Example
    void readersContinueAfterTheirNumber() {
        log.reset(7);
        log.add(FIRST);
        CacheChanges all = since(0);
        assert all.lost() && all.epoch() == 7 && all.changes().equals(List.of(FIRST)) : all;
        log.add(SECOND);
        log.add(REMOVED);
        CacheChanges next = since(all.nextCursor());
        assert !next.lost() && next.changes().equals(List.of(SECOND, REMOVED)) : next;
        assert !log.hasChangesSince(next.nextCursor());
        assert since(0).changes().equals(List.of(SECOND));
    }

    /** Failure guarded against: a part from before a restart of the store is still reported as complete. */
    @Example
    void storeRestartSendsAllPartsAgain() {
        log.reset(7);
        log.add(FIRST);
        long number = since(0).nextCursor();
        log.reset(8);
        CacheChanges after = since(number);
        assert after.lost() && after.epoch() == 8 && after.changes().isEmpty() : after;
    }

    /** Failure guarded against: a reader that fell behind, or comes from another hub, keeps parts that are gone. */
    @Example
    void unknownNumbersGetAllParts() {
        log.reset(7);
        for (int change = 0; change <= CacheChangeLog.MAX_CHANGES; change++) {
            log.add(new CacheChange(true, "s", "p" + change, 1));
        }
        assert since(1_001).lost();
        assert since(999_999).lost();
        assert since(999_999).changes().size() == CacheChangeLog.MAX_CHANGES + 1;
    }
}
