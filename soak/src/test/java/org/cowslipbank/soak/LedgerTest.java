package org.cowslipbank.soak;

import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;
import org.cowslipbank.platform.StandInFormats;
import org.cowslipbank.platform.StandInUpstream.Order;
import org.cowslipbank.platform.StandInUpstream.Run;

/** Each promise is broken once on purpose; a check that says nothing then would find nothing in a soak either. */
final class LedgerTest {
    private final AtomicLong millis = new AtomicLong(1_000_000);
    private final Ledger ledger = new Ledger(new StandInFormats.Bounds(5_000, 3_000, 8, 10_000), 3_000, millis::get);

    private Run run(String id, String path) {
        return new Run("s1", id, path, "a", false);
    }

    private String sent(String path) {
        return ledger.onSent(path, "a", "key");
    }

    private void broken(String part) {
        assert ledger.violations().size() == 1 : ledger.violations();
        assert ledger.violations().get(0).contains(part) : ledger.violations();
    }

    @Example
    void orderThatRunsTwiceIsFound() {
        String id = sent(StandInFormats.ORDER_PATH);
        ledger.onRun(run(id, StandInFormats.ORDER_PATH));
        assert ledger.violations().isEmpty();
        ledger.onRun(run(id, StandInFormats.ORDER_PATH));
        broken("ran 2 times");
    }

    @Example
    void readThatRunsThreeTimesIsFound() {
        String id = sent(StandInFormats.READ_PATH);
        ledger.onRun(run(id, StandInFormats.READ_PATH));
        ledger.onRun(run(id, StandInFormats.READ_PATH));
        assert ledger.violations().isEmpty();
        ledger.onRun(run(id, StandInFormats.READ_PATH));
        broken("ran 3 times");
    }

    @Example
    void rejectionAfterARunIsFound() {
        String id = sent(StandInFormats.READ_PATH);
        ledger.onRun(run(id, StandInFormats.READ_PATH));
        ledger.onRejected(id, "status 503");
        broken("although it had run");
    }

    @Example
    void runAfterARejectionIsFound() {
        String id = sent(StandInFormats.READ_PATH);
        ledger.onRejected(id, "status 503");
        ledger.onRun(run(id, StandInFormats.READ_PATH));
        broken("after it was rejected");
    }

    @Example
    void foreignTeamIsFound() {
        String id = sent(StandInFormats.READ_PATH);
        ledger.onRun(new Run("s1", id, StandInFormats.READ_PATH, "b", false));
        broken("for team 'b'");
    }

    @Example
    void keyThatIsPassedOnIsFound() {
        String id = sent(StandInFormats.READ_PATH);
        ledger.onRun(new Run("s1", id, StandInFormats.READ_PATH, "a", true));
        broken("client's key");
    }

    @Example
    void revokedKeyIsFound() {
        ledger.onRevoked("key");
        millis.addAndGet(5_000);
        String inTime = sent(StandInFormats.READ_PATH);
        ledger.onRun(run(inTime, StandInFormats.READ_PATH));
        assert ledger.violations().isEmpty();
        millis.addAndGet(1);
        String late = sent(StandInFormats.READ_PATH);
        ledger.onRun(run(late, StandInFormats.READ_PATH));
        broken("revoked");
    }

    @Example
    void requestToAnUpstreamThatLeftIsFound() {
        ledger.onLeaving("s1");
        millis.addAndGet(3_200);
        ledger.onRun(run(sent(StandInFormats.READ_PATH), StandInFormats.READ_PATH));
        assert ledger.violations().isEmpty();
        millis.addAndGet(1);
        ledger.onRun(run(sent(StandInFormats.READ_PATH), StandInFormats.READ_PATH));
        broken("began to leave");
    }

    @Example
    void ordersThatTakeTurnsAreFound() {
        ledger.onOrder(new Order("s1", "n1", 4));
        millis.addAndGet(3_000);
        ledger.onOrder(new Order("s1", "n2", 5));
        assert ledger.violations().isEmpty();
        millis.addAndGet(2_999);
        ledger.onOrder(new Order("s1", "n3", 6));
        broken("within 2999 ms");
    }

    @Example
    void olderFencingTokenIsFound() {
        ledger.onOrder(new Order("s1", "n1", 4));
        millis.addAndGet(3_000);
        ledger.onOrder(new Order("s1", "n2", 3));
        broken("fencing token");
    }

    @Example
    void successThatIsNotOwnIsFound() {
        ledger.onServed(sent(StandInFormats.READ_PATH), false, "x");
        broken("not whole or not its own");
    }
}
