package org.cowslipbank.bench.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiPredicate;

import com.fasterxml.jackson.databind.ObjectMapper;

/** One stream of the load; its events come from one thread at a time. */
final class StreamRun {
    static final int HTTP_OK = 200;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LoadRequest request;
    private final StreamProtocol protocol;
    private final LoadStatistics statistics;
    private final BiPredicate<String, String> answerCheck;
    private final long intendedNanos;
    private final StringBuilder text = new StringBuilder();
    private final AtomicBoolean ended = new AtomicBoolean();
    private int status = HTTP_OK;
    private long lastTokenNanos;
    private int tokens;
    private boolean complete;
    private String errorRun = "";
    private StreamLine usage = StreamLine.OTHER;

    StreamRun(
            LoadRequest request,
            StreamProtocol protocol,
            LoadStatistics statistics,
            BiPredicate<String, String> answerCheck,
            long intendedNanos) {
        this.request = request;
        this.protocol = protocol;
        this.statistics = statistics;
        this.answerCheck = answerCheck;
        this.intendedNanos = intendedNanos;
    }

    LoadRequest request() {
        return request;
    }

    void status(int code) {
        status = code;
    }

    void line(byte[] bytes) {
        long nowNanos = System.nanoTime();
        try {
            for (StreamLine line : protocol.read(new String(bytes, StandardCharsets.UTF_8))) {
                on(line, nowNanos);
            }
        } catch (IOException e) {
            errorRun = "unknown";
        }
    }

    void refusal(byte[] body) {
        try {
            errorRun = MAPPER.readTree(body).path("error").path("run").asText("unknown");
        } catch (IOException e) {
            errorRun = "unknown";
        }
    }

    private void on(StreamLine line, long nowNanos) {
        if (line.kind() == StreamLine.Kind.TOKEN) {
            token(line.text(), nowNanos);
        } else if (line.kind() == StreamLine.Kind.USAGE) {
            usage = line;
        } else if (line.kind() == StreamLine.Kind.ERROR) {
            errorRun = line.text();
        } else if (line.kind() == StreamLine.Kind.END) {
            complete = true;
        }
    }

    private void token(String token, long nowNanos) {
        if (tokens == 0) {
            statistics.firstToken(nowNanos - intendedNanos);
        } else {
            statistics.gap(nowNanos - lastTokenNanos);
        }
        tokens++;
        lastTokenNanos = nowNanos;
        text.append(token);
    }

    void end(boolean broken) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        if (!broken && complete && errorRun.isEmpty() && status == HTTP_OK) {
            boolean right = answerCheck.test(request.prompt(), text.toString());
            statistics.answered(right, usage.promptTokens(), usage.cachedTokens());
        } else if (errorRun.equals("not_run") && tokens == 0) {
            statistics.refused();
        } else {
            statistics.failed();
        }
    }
}
