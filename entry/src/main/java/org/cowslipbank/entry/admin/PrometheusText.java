package org.cowslipbank.entry.admin;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/** Formats metrics in the Prometheus text exposition format. */
public final class PrometheusText {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final StringBuilder text = new StringBuilder();

    private PrometheusText() {}

    /**
     * Formats all metrics of a registry. Gauges without a numeric value are left out.
     *
     * @param registry the registry
     * @return one line per value
     */
    public static String of(MetricRegistry registry) {
        PrometheusText writer = new PrometheusText();
        registry.getCounters().forEach((name, counter) -> writer.appendLine(name, "", counter.getCount()));
        registry.getMeters().forEach((name, meter) -> writer.appendLine(name, "_total", meter.getCount()));
        registry.getGauges().forEach((name, gauge) -> {
            if (gauge.getValue() instanceof Number number) {
                writer.appendLine(name, "", number.doubleValue());
            }
        });
        registry.getTimers().forEach(writer::appendTimer);
        return writer.text.toString();
    }

    private void appendTimer(String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        appendLine(name, "_seconds{quantile=\"0.5\"}", snapshot.getMedian() / NANOS_PER_SECOND);
        appendLine(name, "_seconds{quantile=\"0.95\"}", snapshot.get95thPercentile() / NANOS_PER_SECOND);
        appendLine(name, "_seconds{quantile=\"0.99\"}", snapshot.get99thPercentile() / NANOS_PER_SECOND);
        appendLine(name, "_seconds_count", timer.getCount());
    }

    private void appendLine(String name, String suffix, double value) {
        text.append("cowslipbank_").append(toSnakeCase(name)).append(suffix);
        text.append(' ').append(value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value));
        text.append('\n');
    }

    private static String toSnakeCase(String name) {
        return name.replace('.', '_').replaceAll("([a-z])([A-Z])", "$1_$2").toLowerCase(Locale.ROOT);
    }
}
