package org.cowslipbank.bench.recovery;

import java.util.List;
import java.util.stream.IntStream;

import org.cowslipbank.decision.directory.HintTable;
import org.cowslipbank.decision.directory.SessionHint;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.SessionKey;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.StoreTier;
import org.cowslipbank.model.TeamId;

/** Computes the bytes that a node receives to recover the directory hints of its sessions after an absence. */
final class HintTraffic {
    /** Size of a block reference: key, generation, length, checksum and tier. */
    private static final long BLOCK_REF_BYTES = 32 + 8 + 8 + 8 + 1;

    /** Size of a hint without its blocks: team, session, model, store and time. */
    private static final long HINT_HEADER_BYTES = 96;

    private final int sessions;
    private final int blocksPerSession;
    private final HintTable table;
    private final UpdateLog updateLog;

    HintTraffic(int sessions, int blocksPerSession, int maxLogUpdates) {
        this.sessions = sessions;
        this.blocksPerSession = blocksPerSession;
        this.table = new HintTable(sessions, sessions * blocksPerSession);
        this.updateLog = new UpdateLog(maxLogUpdates);
        for (int session = 0; session < sessions; session++) {
            table.put(hint(session, 0));
        }
    }

    long snapshotBytes() {
        return encodedBytes(table.snapshot());
    }

    /** Returns the bytes after an absence: the missed updates, or a snapshot if the log no longer holds all of them. */
    long catchUpBytes(int missedUpdates) {
        for (int update = 0; update < missedUpdates; update++) {
            SessionHint hint = hint(update % sessions, update + 1);
            table.put(hint);
            updateLog.append(hint);
        }
        return updateLog.since(0).map(HintTraffic::encodedBytes).orElseGet(this::snapshotBytes);
    }

    private static long encodedBytes(List<SessionHint> hints) {
        return hints.stream()
                .mapToLong(hint ->
                        HINT_HEADER_BYTES + BLOCK_REF_BYTES * hint.blocks().size())
                .sum();
    }

    private SessionHint hint(int session, long atMillis) {
        TeamId team = new TeamId("team");
        ModelRef model = new ModelRef("model", "v1", "");
        List<BlockRef> blocks = IntStream.range(0, blocksPerSession)
                .mapToObj(i -> new BlockIdentity(team, model, i, new BlockKey(session + "." + i)))
                .map(identity -> new BlockRef(new StoreId("store"), identity, 1, 1, 1, StoreTier.MEMORY))
                .toList();
        return new SessionHint(team, new SessionKey("s" + session), model, blocks, atMillis);
    }
}
