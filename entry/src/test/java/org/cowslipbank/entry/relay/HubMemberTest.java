package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.model.relay.StoreItem;

/** Tests a node whose hub, in a fleet of eleven nodes, is simulated by the test. */
final class HubMemberTest {
    private static final long LATER_REVISION = 1_000;
    private static final long NO_OUTAGE_AGE_MILLIS = 1_000_000;
    private static final int OTHER_NODES = 10;

    private final RelaySystem system;
    private final ScriptedUpstream hub;
    private volatile FeedMessages.PollAnswer hubAnswer = answer(0, List.of());
    private volatile String hubStatus = "200";

    HubMemberTest() throws Exception {
        system = new RelaySystem();
        hub = new ScriptedUpstream((request, socket) -> {
            byte[] body = FeedMessages.encode(hubAnswer);
            ScriptedUpstream.write(
                    socket, "HTTP/1.1 " + hubStatus + " X\r\nContent-Length: " + body.length + "\r\n\r\n");
            socket.getOutputStream().write(body);
        });
        for (int index = 0; index < OTHER_NODES; index++) {
            RegisteredNode node = new RegisteredNode(
                    "h" + index, "127.0.0.1:9", "a", "", hub.address(), "", 1_000_000_000L + index, 0.75, false);
            String value = new String(NodeItems.encodeNode(node), StandardCharsets.UTF_8);
            system.store.put("cowslipbank/nodes/h" + index, value);
        }
        system.upstream("app", "i-1", ScriptedUpstream.ok("done"));
        system.start();
        RelaySystem.await("the hub is polled", () -> !hub.received.isEmpty());
    }

    private static FeedMessages.PollAnswer answer(long revision, List<FeedMessages.ItemMessage> items) {
        return new FeedMessages.PollAnswer(revision, items, 0, 0, NO_OUTAGE_AGE_MILLIS, Map.of(), Map.of());
    }

    @AfterTry
    void stop() throws IOException {
        hub.close();
        system.close();
    }

    private boolean isAnswered(String status) {
        return system.send("/read/1", "r1", "", "").startsWith("HTTP/1.1 " + status);
    }

    /** Failure guarded against: a member accepts a key after its hub has sent a configuration without that key. */
    @Example
    void configurationFromHubIsApplied() {
        assert isAnswered("200");
        hubAnswer = answerWithoutKey();
        RelaySystem.await("the key is refused", () -> isAnswered("401"));
    }

    private FeedMessages.PollAnswer answerWithoutKey() {
        StoreItem known = system.store.item("op/config").orElseThrow();
        String value = new String(known.value(), StandardCharsets.UTF_8)
                .replace("\"Version\":1,", "\"Version\":2,")
                .replace("\"key\"", "\"other\"");
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return answer(
                LATER_REVISION,
                List.of(FeedMessages.ItemMessage.of(new StoreItem("op/config", bytes, LATER_REVISION, 1, 0))));
    }

    /** Failure guarded against: a member applies the body of an answer whose status is none in HTTP. */
    @Example
    void answerWithInvalidStatusIsNotApplied() {
        for (String status : List.of("000", "99", "600")) {
            int before = hub.received.size();
            hubStatus = status;
            hubAnswer = answerWithoutKey();
            RelaySystem.await("the hub is polled", () -> hub.received.size() >= before + 2);
            assert isAnswered("200") : status;
        }
    }

    /** Failure guarded against: a member goes on sending to a data centre after its hub has told of the evacuation. */
    @Example
    void evacuationFromHubIsApplied() {
        assert isAnswered("200");
        StoreItem requested = new StoreItem("op/evacuate/a", new byte[] {'{', '}'}, LATER_REVISION, 1, 0);
        hubAnswer = answer(LATER_REVISION, List.of(FeedMessages.ItemMessage.of(requested)));
        RelaySystem.await("no upstream is left", () -> isAnswered("503"));
        StoreItem removed = new StoreItem("op/evacuate/a", null, LATER_REVISION + 1, 0, 0);
        hubAnswer = answer(LATER_REVISION + 1, List.of(FeedMessages.ItemMessage.of(removed)));
        RelaySystem.await("the upstream is used again", () -> isAnswered("200"));
    }

    /** Failure guarded against: members without requests cost their hub as many answers as busy ones. */
    @Example
    void memberWithoutRequestsPollsLessOften() throws Exception {
        int before = hub.received.size();
        Thread.sleep(2 * HubFeedClient.IDLE_POLL_PAUSE_MILLIS);
        int idlePolls = hub.received.size() - before;
        assert idlePolls <= 3 : idlePolls;
    }

    /** Failure guarded against: a member whose hub has failed gets no new configuration. */
    @Example
    void memberReadsMetadataStoreIfHubFails() throws IOException {
        hub.close();
        system.configure(2, "\"other\"");
        RelaySystem.await("the key is refused", () -> isAnswered("401"));
    }
}
