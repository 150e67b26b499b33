package org.cowslipbank.entry.admin;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/** Writes the metrics in the text format that scrapers read. */
public final class MetricsText {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final StringBuilder text = new StringBuilder();

    private MetricsText() {}

    /**
     * Writes all metrics of a registry.
     *
     * @param registry the registry
     * @return the text
     */
    public static String of(MetricRegistry registry) {
        MetricsText writer = new MetricsText();
        registry.getCounters().forEach((name, counter) -> writer.line(name, "", counter.getCount()));
        registry.getMeters().forEach((name, meter) -> writer.line(name, "_total", meter.getCount()));
        registry.getGauges().forEach((name, gauge) -> {
            if (gauge.getValue() instanceof Number number) {
                writer.line(name, "", number.doubleValue());
            }
        });
        registry.getTimers().forEach(writer::timer);
        return writer.text.toString();
    }

    private void timer(String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        line(name, "_seconds{quantile=\"0.5\"}", snapshot.getMedian() / NANOS_PER_SECOND);
        line(name, "_seconds{quantile=\"0.95\"}", snapshot.get95thPercentile() / NANOS_PER_SECOND);
        line(name, "_seconds{quantile=\"0.99\"}", snapshot.get99thPercentile() / NANOS_PER_SECOND);
        line(name, "_seconds_count", timer.getCount());
    }

    private void line(String name, String suffix, double value) {
        text.append("cowslipbank_").append(underscored(name)).append(suffix);
        text.append(' ').append(value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value));
        text.append('\n');
    }

    private static String underscored(String name) {
        return name.replace('.', '_').replaceAll("([a-z])([A-Z])", "$1_$2").toLowerCase(Locale.ROOT);
    }
}
