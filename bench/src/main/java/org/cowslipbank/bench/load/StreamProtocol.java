package org.cowslipbank.bench.load;

import java.io.IOException;
import java.util.List;

/** How a stream is asked for and read. */
interface StreamProtocol {
    /** Returns the call that starts a request's stream. */
    Call call(LoadRequest request);

    /** Returns what a line means; a usage line may also be the end. */
    List<StreamLine> read(String line) throws IOException;

    /**
     * An HTTP POST.
     *
     * @param url the address and path
     * @param authorization value of the header, empty for none
     * @param body the JSON body
     */
    record Call(String url, String authorization, String body) {}
}
