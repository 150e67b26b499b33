package org.cowslipbank.decision.routing;

/** How many of the candidates are compared. */
public enum SelectionMode {
    /** Compare all candidates. */
    FULL_SCAN,
    /** Compare two candidates that are drawn by the seed of the input. */
    TWO_CHOICES
}
