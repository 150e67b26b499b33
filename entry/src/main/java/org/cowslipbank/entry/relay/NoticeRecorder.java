package org.cowslipbank.entry.relay;

import java.util.function.Supplier;

import org.cowslipbank.decision.relay.UpstreamNotices;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.UpstreamNotice;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.AnswerHead;

/** Records and logs what upstreams say of themselves in their answers. Runs on the traffic thread. */
final class NoticeRecorder {
    private final UpstreamNotices notices;
    private final Supplier<PlatformView> view;
    private final Clocks clocks;
    private final DecisionLog log;

    NoticeRecorder(UpstreamNotices notices, Supplier<PlatformView> view, Clocks clocks, DecisionLog log) {
        this.notices = notices;
        this.view = view;
        this.clocks = clocks;
        this.log = log;
    }

    /**
     * Records the notice in an answer, unless another upstream has taken the address over and answered.
     *
     * @param server the upstream to which the request was sent
     * @param answer the head of the answer
     * @param sentMillis when the request was sent, in milliseconds
     */
    void record(UpstreamServer server, AnswerHead answer, long sentMillis) {
        if (!answer.serverId().isEmpty() && !answer.serverId().equals(server.id())) {
            return;
        }
        UpstreamNotice notice = answer.notice();
        for (UpstreamNotices.Change change :
                notices.onAnswer(server.incarnation(), notice, sentMillis, clocks.nowMillis())) {
            log.logState(LogFields.event(describe(change))
                    .peer(server.address())
                    .field("server", server.id())
                    .field("source", "answer")
                    .field("requestsPerSecond", notice.requestsPerSecond().orElse(-1))
                    .field("pauseMillis", notice.pauseMillis().orElse(-1))
                    .field(
                            "maxRejectionsPerSecond",
                            notice.maxRejectionsPerSecond().orElse(-1))
                    .field("nodes", view.get().nodes().size()));
        }
        if (!notice.ignored().isEmpty()) {
            log.logRequest(LogFields.event("upstream's notice ignored")
                    .peer(server.address())
                    .field("server", server.id())
                    .field("headers", notice.ignored()));
        }
    }

    private static String describe(UpstreamNotices.Change change) {
        return switch (change) {
            case LIMITED -> "upstream names a request limit";
            case UNLIMITED -> "upstream no longer names a request limit";
            case LEAVING -> "upstream leaves";
            case PAUSED -> "upstream asks for a pause";
            case BRITTLE -> "upstream says that it is brittle";
            case BRITTLE_CHANGED -> "upstream can reject another number of requests";
            case BRITTLE_ENDED -> "upstream is no longer brittle";
        };
    }
}
