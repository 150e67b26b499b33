package org.cowslipbank.decision.directory;

import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.SessionKey;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.StoreTier;
import org.cowslipbank.model.TeamId;

final class DirectoryTest {
    private static final TeamId TEAM = new TeamId("joinery");
    private static final ModelRef MODEL = new ModelRef("kit", "v2", "");

    /** Guards against the loss of one store changing the placement of chains on other stores. */
    @Example
    boolean lossOfAStoreMovesOnlyItsChains() {
        List<StoreId> all = List.of(new StoreId("a"), new StoreId("b"), new StoreId("c"));
        List<StoreId> remaining = all.subList(0, 2);
        return IntStream.range(0, 500).mapToObj(i -> new BlockKey("k" + i)).allMatch(key -> {
            StoreId before = StorePlacement.rank(key, all).get(0);
            return !remaining.contains(before)
                    || before.equals(StorePlacement.rank(key, remaining).get(0));
        });
    }

    /** Guards against hints that grow without bound with the number of sessions. */
    @Example
    boolean hintsStayWithinBothBounds() {
        HintTable table = new HintTable(10, 25);
        IntStream.range(0, 100).forEach(i -> table.put(hint("s" + i, "a", 5, i)));
        return table.sessionCount() == 5
                && table.find(TEAM, new SessionKey("s99")).isPresent();
    }

    /**
     * Guards against hints that refer to a dead store, and against recovery that replaces newer hints by older ones.
     */
    @Example
    boolean deadStoreIsRemovedAndOldHintsAreIgnored() {
        HintTable table = new HintTable(10, 100);
        table.put(hint("s", "a", 5, 2));
        table.put(hint("s", "b", 3, 1));
        boolean newerKept = blocks(table) == 5;
        table.removeStore(new StoreId("a"));
        return newerKept && blocks(table) == 0;
    }

    private static int blocks(HintTable table) {
        return table.find(TEAM, new SessionKey("s")).orElseThrow().blocks().size();
    }

    private static SessionHint hint(String session, String store, int blocks, long atMillis) {
        List<BlockRef> refs = IntStream.range(0, blocks)
                .mapToObj(i -> new BlockIdentity(TEAM, MODEL, i, new BlockKey(session + i)))
                .map(identity -> new BlockRef(new StoreId(store), identity, 1, 1, 1, StoreTier.MEMORY))
                .toList();
        return new SessionHint(TEAM, new SessionKey(session), MODEL, refs, atMillis);
    }
}
