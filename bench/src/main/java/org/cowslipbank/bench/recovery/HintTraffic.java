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

/** Bytes that a node receives to recover the hints of its sessions after an absence. */
final class HintTraffic {
    /** Key, generation, length, checksum and tier of a block. */
    private static final long BLOCK_BYTES = 32 + 8 + 8 + 8 + 1;

    /** Team, session, model, store and time of a hint. */
    private static final long HINT_BYTES = 96;

    private final int sessions;
    private final int blocksPerSession;
    private final HintTable table;
    private final UpdateLog log;

    HintTraffic(int sessions, int blocksPerSession, int logBound) {
        this.sessions = sessions;
        this.blocksPerSession = blocksPerSession;
        this.table = new HintTable(sessions, sessions * blocksPerSession);
        this.log = new UpdateLog(logBound);
        for (int session = 0; session < sessions; session++) {
            table.put(hint(session, 0));
        }
    }

    long snapshotBytes() {
        return bytes(table.snapshot());
    }

    /** Bytes after an absence in which some updates were missed: those of the log, or of a snapshot beyond its bound. */
    long logBytes(int missedUpdates) {
        for (int update = 0; update < missedUpdates; update++) {
            SessionHint hint = hint(update % sessions, update + 1);
            table.put(hint);
            log.append(hint);
        }
        return log.since(0).map(HintTraffic::bytes).orElseGet(this::snapshotBytes);
    }

    private static long bytes(List<SessionHint> hints) {
        return hints.stream()
                .mapToLong(hint -> HINT_BYTES + BLOCK_BYTES * hint.blocks().size())
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
