/**
 * Experiment on section 11 item 2 of the design page: goodput under overload, isolation of teams, early and correct
 * refusals, and the number of attempts while upstreams fail.
 */
package org.cowslipbank.bench.limits;
