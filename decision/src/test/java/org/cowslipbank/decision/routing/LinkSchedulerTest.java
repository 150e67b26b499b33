package org.cowslipbank.decision.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;

final class LinkSchedulerTest {
    /** Guards against a waiting request that queues behind an export or a prefetch on a slow link. */
    @Example
    boolean foregroundGoesAheadOfPrefetchAndExport() {
        LinkScheduler scheduler = new LinkScheduler(1);
        scheduler.submit(1, TransferPriority.EXPORT, blocks(2));
        scheduler.submit(2, TransferPriority.PREFETCH, blocks(1));
        scheduler.submit(3, TransferPriority.FOREGROUND, blocks(2));
        return drain(scheduler).equals(List.of(3L, 3L, 2L, 1L, 1L));
    }

    /** Guards against a cancelled transfer that keeps the link busy or leaks its block in flight. */
    @Example
    boolean cancelledTransferReleasesItsBlockInFlight() {
        LinkScheduler scheduler = new LinkScheduler(1);
        scheduler.submit(1, TransferPriority.FOREGROUND, blocks(3));
        scheduler.submit(2, TransferPriority.EXPORT, blocks(1));
        BlockGrant inFlight = scheduler.grantNext().orElseThrow();
        scheduler.cancel(1);
        boolean blocked = scheduler.grantNext().isEmpty();
        scheduler.onBlockEnded(inFlight);
        return blocked && drain(scheduler).equals(List.of(2L));
    }

    /** Guards against a prefetch that stays behind other prefetches after its request has arrived. */
    @Example
    boolean arrivedRequestMovesItsPrefetchAhead() {
        LinkScheduler scheduler = new LinkScheduler(1);
        scheduler.submit(1, TransferPriority.PREFETCH, blocks(2));
        scheduler.submit(2, TransferPriority.PREFETCH, blocks(1));
        scheduler.reprioritise(2, TransferPriority.FOREGROUND);
        return scheduler.queuedBytes(TransferPriority.FOREGROUND) == 10
                && drain(scheduler).equals(List.of(2L, 1L, 1L));
    }

    private static List<Long> blocks(int count) {
        return Collections.nCopies(count, 10L);
    }

    private static List<Long> drain(LinkScheduler scheduler) {
        List<Long> order = new ArrayList<>();
        for (Optional<BlockGrant> next = scheduler.grantNext(); next.isPresent(); next = scheduler.grantNext()) {
            order.add(next.get().transferId());
            scheduler.onBlockEnded(next.get());
        }
        return order;
    }
}
