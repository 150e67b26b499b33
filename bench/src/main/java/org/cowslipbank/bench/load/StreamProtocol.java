package org.cowslipbank.bench.load;

import java.io.IOException;
import java.util.List;

/** Builds the call for a stream and parses the lines of the answer. */
interface StreamProtocol {
    /** Returns the HTTP call that starts the stream of a request. */
    Call toCall(LoadRequest request);

    /** Parses a line. One line can carry both the usage and the end of the stream, or nothing of interest. */
    List<StreamLine> parseLine(String line) throws IOException;

    /**
     * An HTTP POST.
     *
     * @param url URL of the call
     * @param authorization value of the authorization header, empty for none
     * @param body the JSON body
     */
    record Call(String url, String authorization, String body) {}
}
