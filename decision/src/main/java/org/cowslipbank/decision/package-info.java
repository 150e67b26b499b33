/** Decision logic as pure functions and state machines, without I/O, clocks, threads or random sources. */
package org.cowslipbank.decision;
