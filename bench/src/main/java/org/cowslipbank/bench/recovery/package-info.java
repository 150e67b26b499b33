/**
 * Measures how long returning prompts are recomputed after a loss, and what the ways of recovering directory hints cost.
 */
package org.cowslipbank.bench.recovery;
