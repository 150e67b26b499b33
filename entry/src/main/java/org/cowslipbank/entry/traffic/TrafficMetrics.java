package org.cowslipbank.entry.traffic;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Metrics of traffic handling. */
public final class TrafficMetrics {
    private final Counter requests;
    private final Counter answered;
    private final Counter failed;
    private final Counter refused;
    private final Counter cancelled;
    private final Counter furtherAttempts;
    private final Counter resumes;
    private final Counter droppedEvents;
    private final Counter promptTokens;
    private final Counter computedPromptTokens;
    private final Counter importedPromptTokens;
    private final Counter exportedBytes;
    private final Counter importedBytes;
    private final Counter rejectedReceipts;
    private final Meter tokens;
    private final Timer timeToFirstToken;

    /**
     * Registers the metrics.
     *
     * @param registry the node's metric registry
     */
    public TrafficMetrics(MetricRegistry registry) {
        requests = registry.counter("traffic.requests");
        answered = registry.counter("traffic.answered");
        failed = registry.counter("traffic.failed");
        refused = registry.counter("traffic.refused");
        cancelled = registry.counter("traffic.cancelled");
        furtherAttempts = registry.counter("traffic.furtherAttempts");
        resumes = registry.counter("traffic.resumes");
        droppedEvents = registry.counter("traffic.droppedEvents");
        promptTokens = registry.counter("cache.promptTokens");
        computedPromptTokens = registry.counter("cache.computedPromptTokens");
        importedPromptTokens = registry.counter("cache.importedPromptTokens");
        exportedBytes = registry.counter("cache.exportedBytes");
        importedBytes = registry.counter("cache.importedBytes");
        rejectedReceipts = registry.counter("cache.rejectedReceipts");
        tokens = registry.meter("traffic.tokens");
        timeToFirstToken = registry.timer("traffic.timeToFirstToken");
    }

    Counter requests() {
        return requests;
    }

    Counter answered() {
        return answered;
    }

    Counter failed() {
        return failed;
    }

    Counter refused() {
        return refused;
    }

    Counter cancelled() {
        return cancelled;
    }

    Counter furtherAttempts() {
        return furtherAttempts;
    }

    Counter resumes() {
        return resumes;
    }

    Counter droppedEvents() {
        return droppedEvents;
    }

    Counter promptTokens() {
        return promptTokens;
    }

    Counter computedPromptTokens() {
        return computedPromptTokens;
    }

    Counter importedPromptTokens() {
        return importedPromptTokens;
    }

    Counter exportedBytes() {
        return exportedBytes;
    }

    Counter importedBytes() {
        return importedBytes;
    }

    Counter rejectedReceipts() {
        return rejectedReceipts;
    }

    Meter tokens() {
        return tokens;
    }

    Timer timeToFirstToken() {
        return timeToFirstToken;
    }
}
