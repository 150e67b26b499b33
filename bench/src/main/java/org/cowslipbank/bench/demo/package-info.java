/**
 * A short working day of a deployment in one process: nodes, stand-ins, callers and faults, with a check of every
 * promise at the end.
 */
package org.cowslipbank.bench.demo;
