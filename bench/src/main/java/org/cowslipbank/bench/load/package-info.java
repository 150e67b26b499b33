/**
 * The load tool and the load experiment.
 *
 * <p>Arrivals are open-loop: a request starts at its intended time however slow earlier ones are, and its latency
 * counts from that time. A closed loop would wait with a slow system and so hide its queueing (coordinated omission).
 */
package org.cowslipbank.bench.load;
