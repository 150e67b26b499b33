package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.OptionalLong;

import net.jqwik.api.Example;
import org.cowslipbank.ports.relay.EngineControl.CacheChange;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;

final class CacheLogTest {
    private static final CacheChange FIRST = new CacheChange(true, "s", "a", 10);
    private static final CacheChange SECOND = new CacheChange(true, "s", "b", 20);
    private static final CacheChange GONE = new CacheChange(false, "s", "a", 0);

    private final CacheLog log = new CacheLog(1_000);

    private CacheChanges since(long number) {
        return log.since(number, OptionalLong.empty());
    }

    /** Failure guarded against: a reader misses a change, or gets it twice. */
    @Example
    void readersGoOnWhereTheyWere() {
        log.reset(7);
        log.add(FIRST);
        CacheChanges all = since(0);
        assert all.lost() && all.epoch() == 7 && all.changes().equals(List.of(FIRST)) : all;
        log.add(SECOND);
        log.add(GONE);
        CacheChanges next = since(all.next());
        assert !next.lost() && next.changes().equals(List.of(SECOND, GONE)) : next;
        assert !log.hasChangesSince(next.next());
        assert since(0).changes().equals(List.of(SECOND));
    }

    /** Failure guarded against: a part of an earlier lifetime of the store is still told as complete. */
    @Example
    void restartOfTheStoreTellsEverythingAnew() {
        log.reset(7);
        log.add(FIRST);
        long number = since(0).next();
        log.reset(8);
        CacheChanges after = since(number);
        assert after.lost() && after.epoch() == 8 && after.changes().isEmpty() : after;
    }

    /** Failure guarded against: a reader that falls behind, or comes from another node, keeps parts that are gone. */
    @Example
    void unknownNumbersGetEverything() {
        log.reset(7);
        for (int change = 0; change <= CacheLog.MAX_CHANGES; change++) {
            log.add(new CacheChange(true, "s", "p" + change, 1));
        }
        assert since(1_001).lost();
        assert since(999_999).lost();
        assert since(999_999).changes().size() == CacheLog.MAX_CHANGES + 1;
    }
}
