/**
 * The load tool and the load experiment.
 *
 * <p>Arrivals are open-loop: each request starts at its intended time, however slow earlier ones are, and its latency
 * counts from that time. A closed loop would slow down with the system and hide queueing (coordinated omission).
 */
package org.cowslipbank.bench.load;
