package org.cowslipbank.bench;

/**
 * A measured figure.
 *
 * @param name the figure's name, with its unit as a suffix
 * @param value the measured value
 * @param relation how the value compares with its bound
 * @param bound the required bound; ignored for {@link Relation#NONE}
 */
public record Figure(String name, double value, Relation relation, double bound) {
    /** How a figure compares with its bound. */
    public enum Relation {
        /** The value must not exceed the bound. */
        AT_MOST,
        /** The value must reach the bound. */
        AT_LEAST,
        /** The figure has no bound. */
        NONE
    }

    /**
     * Returns a figure that must not exceed a bound.
     *
     * @param name the name
     * @param value the value
     * @param bound the bound
     * @return the figure
     */
    public static Figure atMost(String name, double value, double bound) {
        return new Figure(name, value, Relation.AT_MOST, bound);
    }

    /**
     * Returns a figure that must reach a bound.
     *
     * @param name the name
     * @param value the value
     * @param bound the bound
     * @return the figure
     */
    public static Figure atLeast(String name, double value, double bound) {
        return new Figure(name, value, Relation.AT_LEAST, bound);
    }

    /**
     * Returns a figure without a bound.
     *
     * @param name the name
     * @param value the value
     * @return the figure
     */
    public static Figure unbounded(String name, double value) {
        return new Figure(name, value, Relation.NONE, 0);
    }

    /**
     * Tells whether the value is within its bound. NaN is never within a bound.
     *
     * @return true if the value is within its bound or there is none
     */
    public boolean meetsBound() {
        return switch (relation) {
            case AT_MOST -> value <= bound;
            case AT_LEAST -> value >= bound;
            case NONE -> true;
        };
    }
}
