package org.cowslipbank.decision.relay;

import java.util.List;

import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.NamedVersions.Name;

final class NamedVersionsTest {
    private static final NamedVersions THREE = NamedVersions.of("m", new Name(2, 1_000, true))
            .with(new Name(4, 2_500, true))
            .with(new Name(5, 4_000, true));

    /** Failure guarded against: each new name puts off the bound of the names before it. */
    @Example
    void enginesAreOutdatedSinceTheEarliestNewerName() {
        assert THREE.outdatedSinceMillis(1).getAsLong() == 1_000;
        assert THREE.outdatedSinceMillis(2).getAsLong() == 2_500;
        assert THREE.outdatedSinceMillis(3).getAsLong() == 2_500;
        assert THREE.outdatedSinceMillis(5).isEmpty();
        assert THREE.latest() == 5 && THREE.nextAfter(2).getAsLong() == 4;
        assert THREE.with(new Name(3, 9_000, true)) == THREE : "a lower version is an old write";
    }

    /** Failure guarded against: a node that starts counts the bound of all names from its start. */
    @Example
    void namesBeforeTheFirstReadingAreLearnedFromOtherNodes() {
        NamedVersions started = NamedVersions.of("m", new Name(5, 3_000, false));
        assert started.namesToTell(6_000, 5_000).isEmpty() : "a guess is not passed on";
        for (Name told : THREE.namesToTell(6_000, 5_000)) {
            started = started.withTold(told);
        }
        assert started.equals(THREE) : started;
        assert started.withTold(new Name(4, 2_400, true)) == started : "delay of a datagram";
        assert started.withTold(new Name(4, 2_000, true)).outdatedSinceMillis(2).getAsLong() == 2_000;
        assert started.withTold(new Name(6, 4_500, true)) == started : "only the store names versions";
    }

    /** Failure guarded against: digests grow with each name. */
    @Example
    void onlyNamesWithinTheirBoundAndTheLastBeforeAreTold() {
        assert THREE.namesToTell(6_000, 8_600).equals(THREE.names().subList(1, 3));
        assert THREE.namesToTell(6_000, 60_000).equals(List.of(new Name(5, 4_000, true)));
    }

    /** Failure guarded against: the times of old names are forgotten when there are many, so that engines count as newer. */
    @Example
    void manyNamesMakeEnginesCountAsOlderAtMost() {
        NamedVersions names = NamedVersions.of("m", new Name(2, 0, true));
        for (int version = 3; version < 100; version++) {
            names = names.with(new Name(version, version, true));
        }
        assert names.names().size() == NamedVersions.MAX_NAMES;
        assert names.outdatedSinceMillis(1).getAsLong() == 0;
        assert names.outdatedSinceMillis(98).getAsLong() == 99;
    }
}
