package org.cowslipbank.bench.capacity;

import java.util.List;

/**
 * Least-squares line through measured points.
 *
 * @param perItem increase for each item
 * @param base value without items
 */
record Slope(double perItem, double base) {
    static Slope of(List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
        double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            covariance += (point.size() - meanSize) * (point.value() - meanValue);
            variance += (point.size() - meanSize) * (point.size() - meanSize);
        }
        double perItem = covariance / variance;
        return new Slope(perItem, meanValue - perItem * meanSize);
    }

    double at(double size) {
        return base + perItem * size;
    }

    /**
     * One measurement.
     *
     * @param size number of items
     * @param value measured value
     */
    record Point(double size, double value) {}
}
