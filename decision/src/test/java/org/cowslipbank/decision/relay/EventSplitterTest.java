package org.cowslipbank.decision.relay;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

final class EventSplitterTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";

    /** Failure guarded against: a client gets part of an event that the resumed stream then repeats. */
    @Example
    void incompleteEventsAreBuffered() {
        EventSplitter splitter = new EventSplitter();
        assert text(splitter.append(bytes("id: 7\nda"))).isEmpty();
        assert splitter.lastEventId().isEmpty();
        assert text(splitter.append(bytes("ta: x\n\nid: 8\n"))).equals("id: 7\ndata: x\n\n");
        assert splitter.lastEventId().equals(Optional.of("7"));
        assert splitter.hasIncompleteEvent();
        splitter.discardIncompleteEvent();
        assert text(splitter.append(bytes("id: 8\ndata: y\n\n"))).equals("id: 8\ndata: y\n\n");
        assert !splitter.hasIncompleteEvent();
    }

    /** Failure guarded against: bytes are lost or duplicated for some division of the stream into packets. */
    @Property
    void anyCutGivesTheSameStream(@ForAll @Size(3) int @IntRange(min = 0, max = 44) [] cuts) {
        byte[] all = bytes(STREAM);
        int[] sorted = Arrays.stream(cuts)
                .map(cut -> Math.floorMod(cut, all.length))
                .sorted()
                .toArray();
        EventSplitter splitter = new EventSplitter();
        StringBuilder passed = new StringBuilder();
        int from = 0;
        for (int cut : sorted) {
            passed.append(text(splitter.append(Arrays.copyOfRange(all, from, cut))));
            from = cut;
        }
        passed.append(text(splitter.append(Arrays.copyOfRange(all, from, all.length))));
        assert passed.toString().equals(STREAM);
        assert splitter.lastEventId().equals(Optional.of("3"));
    }

    /** Failure guarded against: an answer that an upstream writes within an event, as its error, passes for that event. */
    @Example
    void answerWithinAnEventIsNoPartOfIt() {
        String answer = "HTTP/1.1 500 X\r\nX-Request-Id: r1\r\ncontent-length: 0\r\n\r\n";
        String event = "id: 2\ndata: HTTP/1.1 200 OK\ndata: b\n\n";
        // The event is whole up to its last line feed; an answer behind that one is an event of its own.
        for (int cut = 0; cut < event.length(); cut++) {
            EventSplitter splitter = new EventSplitter();
            String passed = text(splitter.append(bytes("id: 1\ndata: a\n\n" + event.substring(0, cut) + answer)));
            assert passed.equals("id: 1\ndata: a\n\n") : cut + passed;
            assert splitter.isMalformed() && splitter.lastEventId().equals(Optional.of("1")) : cut;
            splitter.discardIncompleteEvent();
            assert text(splitter.append(bytes(event))).equals(event);
        }
    }

    /** Failure guarded against: the text of an error is passed on as if it were an event. */
    @Example
    void bytesThatAreNoEventEndTheStream() {
        EventSplitter splitter = new EventSplitter();
        String passed =
                text(splitter.append(bytes("id: 1\ndata: a\n\nHTTP/1.1 500 X\r\nA: b\r\n\r\nid: 2\ndata: b\n\n")));
        assert passed.equals("id: 1\ndata: a\n\n") : passed;
        assert splitter.isMalformed();
        assert text(splitter.append(bytes("id: 3\ndata: c\n\n"))).isEmpty();
        splitter.discardIncompleteEvent();
        assert text(splitter.append(bytes("id: 2\ndata: b\n\n"))).equals("id: 2\ndata: b\n\n");
        assert !splitter.isMalformed();
    }

    /** Failure guarded against: a stream that begins again is joined to the events before it. */
    @Example
    void numbersOfEventsRise() {
        EventSplitter splitter = new EventSplitter();
        splitter.append(
                bytes("id: 9\ndata: a\n\nx-weight-versions: 3\nid: 10\ndata: b\n\n: comment\n\nevent: end\n\n"));
        assert !splitter.isMalformed() && splitter.lastEventId().equals(Optional.of("10"));
        assert text(splitter.append(bytes("id: 10\ndata: b\n\n"))).isEmpty();
        assert splitter.isMalformed();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
