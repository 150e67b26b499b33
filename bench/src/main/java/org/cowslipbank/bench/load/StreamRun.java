package org.cowslipbank.bench.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiPredicate;

import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads one stream and records its result. Its methods are called by one thread at a time. */
final class StreamRun {
    static final int HTTP_OK = 200;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LoadRequest request;
    private final StreamProtocol protocol;
    private final LoadStatistics statistics;
    private final BiPredicate<String, String> answerCheck;
    private final long intendedStartNanos;
    private final StringBuilder text = new StringBuilder();
    private final AtomicBoolean finished = new AtomicBoolean();
    private int status = HTTP_OK;
    private long lastTokenNanos;
    private int tokens;
    private boolean complete;
    private String errorRunState = "";
    private StreamLine usage = StreamLine.OTHER;

    StreamRun(
            LoadRequest request,
            StreamProtocol protocol,
            LoadStatistics statistics,
            BiPredicate<String, String> answerCheck,
            long intendedStartNanos) {
        this.request = request;
        this.protocol = protocol;
        this.statistics = statistics;
        this.answerCheck = answerCheck;
        this.intendedStartNanos = intendedStartNanos;
    }

    LoadRequest request() {
        return request;
    }

    void setStatus(int code) {
        status = code;
    }

    void acceptLine(byte[] bytes) {
        long nowNanos = System.nanoTime();
        try {
            for (StreamLine line : protocol.parseLine(new String(bytes, StandardCharsets.UTF_8))) {
                acceptParsed(line, nowNanos);
            }
        } catch (IOException e) {
            errorRunState = "unknown";
        }
    }

    void acceptRefusal(byte[] body) {
        try {
            errorRunState = MAPPER.readTree(body).path("error").path("run").asText("unknown");
        } catch (IOException e) {
            errorRunState = "unknown";
        }
    }

    private void acceptParsed(StreamLine line, long nowNanos) {
        if (line.kind() == StreamLine.Kind.TOKEN) {
            acceptToken(line.text(), nowNanos);
        } else if (line.kind() == StreamLine.Kind.USAGE) {
            usage = line;
        } else if (line.kind() == StreamLine.Kind.ERROR) {
            errorRunState = line.text();
        } else if (line.kind() == StreamLine.Kind.END) {
            complete = true;
        }
    }

    private void acceptToken(String token, long nowNanos) {
        if (tokens == 0) {
            statistics.recordFirstToken(nowNanos - intendedStartNanos);
        } else {
            statistics.recordGap(nowNanos - lastTokenNanos);
        }
        tokens++;
        lastTokenNanos = nowNanos;
        text.append(token);
    }

    void finish(boolean broken) {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        if (!broken && complete && errorRunState.isEmpty() && status == HTTP_OK) {
            boolean correct = answerCheck.test(request.prompt(), text.toString());
            statistics.recordAnswer(correct, usage.promptTokens(), usage.cachedTokens());
        } else if (errorRunState.equals("not_run") && tokens == 0) {
            statistics.recordRefusal();
        } else {
            statistics.recordFailure();
        }
    }
}
