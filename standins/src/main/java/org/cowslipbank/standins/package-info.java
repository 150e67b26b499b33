/**
 * In-memory stand-ins for the outside systems, with fault injection. They are used by tests, the demonstration and load
 * experiments.
 */
package org.cowslipbank.standins;
