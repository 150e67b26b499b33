package org.cowslipbank.bench.capacity;

import java.util.List;

/**
 * Least-squares line through measured points: value as a function of the number of items.
 *
 * @param perItem increase of the value per item
 * @param base value at zero items
 */
record LinearFit(double perItem, double base) {
    static LinearFit of(List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
        double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            covariance += (point.size() - meanSize) * (point.value() - meanValue);
            variance += (point.size() - meanSize) * (point.size() - meanSize);
        }
        double perItem = covariance / variance;
        return new LinearFit(perItem, meanValue - perItem * meanSize);
    }

    double valueAt(double size) {
        return base + perItem * size;
    }

    /**
     * One measurement.
     *
     * @param size number of items
     * @param value measured value, here in bytes
     */
    record Point(double size, double value) {}
}
