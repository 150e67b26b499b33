/**
 * Experiment on section 11 item 6 of the design page: exactly one complete answer per request while engines, links and
 * callers fail, requests crash engines, engines load new weights and half of the engines retire.
 */
package org.cowslipbank.bench.streams;
