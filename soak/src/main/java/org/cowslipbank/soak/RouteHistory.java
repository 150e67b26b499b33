package org.cowslipbank.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongSupplier;

import org.cowslipbank.platform.StandInFormats;

/** The additional routes of each configuration, by which answers to requests on them are checked. Used by several threads. */
final class RouteHistory {
    private static final int NEWEST = 3;
    private static final int DROPPED = 6;

    private final LongSupplier clock;
    private final long applyMillis;
    private final List<Version> versions = new ArrayList<>();

    /** Routes from a first one on; not acknowledged yet while the time is {@link Long#MAX_VALUE}. */
    private record Version(int first, int count, long acknowledgedMillis) {
        boolean has(int route) {
            return route >= first && route < first + count;
        }
    }

    /**
     * Creates a history without configurations.
     *
     * @param applyMillis time after which a configuration is in force at nodes in touch with the metadata store, in milliseconds
     * @param clock supplies the current time in milliseconds
     */
    RouteHistory(long applyMillis, LongSupplier clock) {
        this.applyMillis = applyMillis;
        this.clock = clock;
    }

    /** Records a configuration that is about to be written. */
    synchronized void onWriting(StandInFormats.Variant variant) {
        versions.add(new Version(variant.firstIdleRoute(), variant.idleRoutes(), Long.MAX_VALUE));
    }

    /** Records that the metadata store acknowledged the last one. */
    synchronized void onWritten() {
        Version last = versions.remove(versions.size() - 1);
        versions.add(new Version(last.first(), last.count(), clock.getAsLong()));
    }

    /** Draws a route to ask for: one of the newest, one that was dropped lately, or any that was there before. */
    synchronized int draw(Random random) {
        Version last = versions.get(versions.size() - 1);
        int end = last.first() + last.count();
        return switch (random.nextInt(4)) {
            case 0, 1 -> end - 1 - random.nextInt(NEWEST);
            case 2 -> Math.max(0, last.first() - 1 - random.nextInt(DROPPED));
            default -> last.first() + random.nextInt(last.count());
        };
    }

    /**
     * Returns whether a node in touch with the metadata store may answer as it did.
     *
     * @param route number of the route
     * @param sentMillis when the request was sent
     * @param ran true if the request ran, false if it was refused as unknown
     * @return false if no configuration that may be in force allows it
     */
    synchronized boolean allows(int route, long sentMillis, boolean ran) {
        for (int index = versions.size() - 1; index >= 0; index--) {
            Version version = versions.get(index);
            if (version.has(route) == ran) {
                return true;
            }
            if (version.acknowledgedMillis() < sentMillis - applyMillis) {
                // This one is in force, so that no older one may be.
                return false;
            }
        }
        return true;
    }
}
