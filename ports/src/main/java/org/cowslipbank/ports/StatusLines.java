package org.cowslipbank.ports;

import java.util.Collection;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds status lines where none may stand. If a server breaks off within an answer's head and writes another answer, that
 * answer's status line becomes a part of the first head.
 */
public final class StatusLines {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] +[0-9]{3}");

    private StatusLines() {}

    /**
     * Returns whether a text holds a status line.
     *
     * @param text a reason phrase, or a header's name or value
     * @return true if a status line begins anywhere in it
     */
    public static boolean isWithin(String text) {
        return STATUS_LINE.matcher(text).find();
    }

    /**
     * Returns whether a body holds the head of an answer to one of some requests.
     *
     * @param body the body
     * @param requestIds identifiers of the requests, which echo in the heads of their answers
     * @return true if a header with an identifier follows a status line
     */
    public static boolean areFollowedByAny(String body, Collection<String> requestIds) {
        Matcher statusLine = STATUS_LINE.matcher(body);
        return statusLine.find()
                && requestIds.stream()
                        .anyMatch(requestId -> body.indexOf(": " + requestId + "\r\n", statusLine.end()) >= 0);
    }

    /**
     * Returns whether a header field holds a status line.
     *
     * @param fields the fields of a head or a trailer
     * @return true if a status line begins in a name or a value
     */
    public static boolean isWithin(Iterable<Map.Entry<String, String>> fields) {
        for (Map.Entry<String, String> field : fields) {
            if (isWithin(field.getKey()) || isWithin(field.getValue())) {
                return true;
            }
        }
        return false;
    }
}
