package org.cowslipbank.decision.hashing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class RendezvousTest {
    private static final List<String> NODES =
            IntStream.range(0, 48).mapToObj(i -> "node-" + i).toList();

    /** Guards against two nodes that both own a claims partition because their member lists are ordered differently. */
    @Property(seed = "3", tries = 200)
    void ownerDoesNotDependOnTheOrderOfMembers(@ForAll String key, @ForAll long seed) {
        List<String> shuffled = new ArrayList<>(NODES);
        Collections.shuffle(shuffled, new Random(seed));
        List<String> top = Rendezvous.top(key, shuffled, Function.identity(), 3);
        require(top.equals(Rendezvous.top(key, NODES, Function.identity(), 3)));
        require(top.get(0)
                .equals(Rendezvous.owner(key, shuffled, Function.identity()).orElseThrow()));
    }

    /** Guards against keys that move between surviving nodes when another node dies. */
    @Example
    void onlyTheKeysOfALostMemberMove() {
        List<String> rest = NODES.subList(1, NODES.size());
        int[] owned = new int[NODES.size()];
        for (int i = 0; i < 4_800; i++) {
            String before =
                    Rendezvous.owner("key-" + i, NODES, Function.identity()).orElseThrow();
            String after =
                    Rendezvous.owner("key-" + i, rest, Function.identity()).orElseThrow();
            require(before.equals(NODES.get(0)) || before.equals(after));
            owned[NODES.indexOf(before)]++;
        }
        // 100 keys a node are expected; a binomial count beyond 60..140 has a chance below 1 in 10,000.
        require(IntStream.of(owned).allMatch(count -> count > 60 && count < 140));
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new AssertionError("rendezvous order differs");
        }
    }
}
