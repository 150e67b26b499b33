/**
 * Which nodes are alive, suspect, leaving or dead, and which facts do probes carry?
 *
 * <p>The state machine follows SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
 * Group Membership Protocol", 2002): random probes, indirect probes, suspicion with incarnation numbers and facts
 * piggybacked on probes. As in Lifeguard (Dadgar, Phillips and Currey, 2018), a node suspects another one only with
 * evidence that it can itself receive messages, so that one-way loss at one node does not spread suspicion.
 *
 * <p>Alternatives considered: all-to-all heartbeats exceed the byte budget at 340 nodes; probing across all data centres
 * makes a partition between regions look like the death of half the fleet. Therefore only nodes of the same data centre
 * decide whether a node is dead, and a few gateways decide whether other data centres are reachable. Facts that must
 * arrive within seconds are forwarded at once by every node that receives them, because probes alone need about one
 * second per gossip round.
 */
package org.cowslipbank.decision.membership;
