package org.cowslipbank.bench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Formats a load result as JSON and as a self-contained HTML page. */
public final class LoadReport {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final int PLOT_WIDTH_PIXELS = 800;
    private static final int PLOT_HEIGHT_PIXELS = 160;
    private static final String STYLE = "body{font-family:sans-serif;max-width:860px;margin:1em auto}"
            + "svg{border:1px solid #ccc}polyline{fill:none;stroke:#06c;stroke-width:1.5}"
            + ".fault{stroke:#c00;stroke-dasharray:4}.warm{fill:#eee}text{font-size:11px}";

    private LoadReport() {}

    /**
     * Formats a result as one line of JSON.
     *
     * @param result the result
     * @return the JSON
     */
    public static String toJson(LoadResult result) {
        try {
            return MAPPER.writeValueAsString(result);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(new IOException("cannot encode load result as JSON", e));
        }
    }

    /**
     * Formats a result as an HTML page with plots over time. The warm-up is shaded and faults are marked.
     *
     * @param title title of the page
     * @param result the result
     * @return the page
     */
    public static String toHtml(String title, LoadResult result) {
        StringBuilder page = new StringBuilder("<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>")
                .append(escapeHtml(title))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>")
                .append(escapeHtml(title))
                .append("</h1><p>")
                .append(escapeHtml(summarize(result)))
                .append("</p>");
        appendPlot(page, "Time to first token, 95th percentile (ms)", result, LoadResult.Second::firstTokenP95Millis);
        appendPlot(
                page, "Time between tokens, 95th percentile (ms)", result, LoadResult.Second::betweenTokensP95Millis);
        appendPlot(page, "Share of prompt tokens recomputed", result, LoadResult.Second::recomputedShare);
        appendPlot(page, "Bytes over the stores' links a second", result, LoadResult.Second::linkBytes);
        return page.append("</body></html>\n").toString();
    }

    private static String summarize(LoadResult result) {
        return String.format(
                Locale.ROOT,
                "%d requests: %d answered, %d wrong, %d refused, %d failed. First token p50 %.1f, p95 %.1f, p99 %.1f ms;"
                        + " between tokens p50 %.1f, p95 %.1f, p99 %.1f ms; recomputed share %.3f; link bytes %d.",
                result.requests(),
                result.answered(),
                result.wrong(),
                result.refused(),
                result.failed(),
                result.firstToken().p50(),
                result.firstToken().p95(),
                result.firstToken().p99(),
                result.betweenTokens().p50(),
                result.betweenTokens().p95(),
                result.betweenTokens().p99(),
                result.recomputedShare(),
                result.linkBytes());
    }

    private static void appendPlot(
            StringBuilder page, String title, LoadResult result, ToDoubleFunction<LoadResult.Second> value) {
        List<LoadResult.Second> seconds = result.seconds();
        double maxValue =
                Math.max(1e-9, seconds.stream().mapToDouble(value).max().orElse(1));
        double pixelsPerSecond = (double) PLOT_WIDTH_PIXELS / Math.max(1, seconds.size());
        boolean hasWarmUp = !seconds.isEmpty() && !seconds.get(0).measured();
        page.append("<h2>").append(title).append("</h2>");
        appendFormat(page, "<svg width=\"%d\" height=\"%d\">", PLOT_WIDTH_PIXELS, PLOT_HEIGHT_PIXELS);
        if (hasWarmUp) {
            long warmUpSeconds =
                    seconds.stream().takeWhile(second -> !second.measured()).count();
            appendFormat(
                    page,
                    "<rect class=\"warm\" width=\"%.1f\" height=\"%d\"/>",
                    warmUpSeconds * pixelsPerSecond,
                    PLOT_HEIGHT_PIXELS);
        }
        page.append("<polyline points=\"");
        for (LoadResult.Second second : seconds) {
            double y = PLOT_HEIGHT_PIXELS * (1 - value.applyAsDouble(second) / maxValue);
            appendFormat(page, "%.1f,%.1f ", second.atSeconds() * pixelsPerSecond, y);
        }
        page.append("\"/>");
        for (LoadResult.FaultMark fault : result.faults()) {
            double x = fault.atSeconds() * pixelsPerSecond;
            appendFormat(
                    page,
                    "<line class=\"fault\" x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%d\"/>",
                    x,
                    x,
                    PLOT_HEIGHT_PIXELS);
            appendFormat(page, "<text x=\"%.1f\" y=\"24\">%s</text>", x + 3, escapeHtml(fault.name()));
        }
        appendFormat(page, "<text x=\"3\" y=\"12\">max %.3f over %d s</text></svg>", maxValue, seconds.size());
    }

    private static void appendFormat(StringBuilder page, String format, Object... values) {
        page.append(String.format(Locale.ROOT, format, values));
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
