/**
 * Demonstration: runs a deployment in one process with nodes, stand-ins, callers and faults, and checks every guarantee
 * at the end.
 */
package org.cowslipbank.bench.demo;
