/**
 * Small stand-ins for the outside systems, with switches for their faults. They serve tests, the demonstration and
 * load experiments, and keep everything in memory.
 */
package org.cowslipbank.standins;
