package org.cowslipbank.decision.membership;

import org.cowslipbank.model.fleet.LoadFact;
import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.ReachabilityFact;
import org.cowslipbank.model.fleet.SuspectFact;
import org.cowslipbank.model.fleet.UpstreamFact;

/** Upper bounds on the encoded sizes of facts, used to fill messages without encoding facts twice. */
final class FactSizes {
    private static final int LONG_BYTES = 9;
    private static final int INT_BYTES = 5;
    private static final int FLAG_BYTES = 1;

    private FactSizes() {}

    static int of(MemberFact fact) {
        return text(fact.vm().value())
                + text(fact.dataCentre().value())
                + text(fact.address())
                + number(fact.callerPort())
                + LONG_BYTES
                + FLAG_BYTES;
    }

    static int of(UpstreamFact fact) {
        return text(fact.upstream().value()) + FLAG_BYTES + LONG_BYTES + INT_BYTES;
    }

    static int of(ReachabilityFact fact) {
        return text(fact.gateway().value()) + text(fact.dataCentre().value()) + FLAG_BYTES + LONG_BYTES;
    }

    static int of(SuspectFact fact) {
        return 2 * LONG_BYTES + FLAG_BYTES + INT_BYTES;
    }

    static int of(LoadFact fact) {
        int counts = number(fact.running())
                + number(fact.waiting())
                + number(fact.waitingPromptTokens())
                + number(fact.prefillTokensPerSecond())
                + number(fact.slots())
                + number(fact.ageMillis());
        return text(fact.upstream().value()) + LONG_BYTES + counts + FLAG_BYTES;
    }

    private static int number(int value) {
        if (value >= 0 && value < 128) {
            return 1;
        }
        return value >= 0 && value < 65_536 ? 3 : INT_BYTES;
    }

    /** A character takes at most three bytes in UTF-8; most identifiers are ASCII. */
    private static int text(String value) {
        int bytes = 0;
        for (int i = 0; i < value.length(); i++) {
            bytes += value.charAt(i) < 128 ? 1 : 3;
        }
        return bytes + (bytes < 32 ? 1 : 3);
    }
}
