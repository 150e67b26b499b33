/**
 * Measures how long returning prompts are recomputed after a loss, and the cost of the ways to recover directory hints.
 */
package org.cowslipbank.bench.recovery;
