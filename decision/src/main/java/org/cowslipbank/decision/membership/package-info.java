/**
 * Which nodes are live, suspect, leaving or dead, and which facts travel with the probes.
 *
 * <p>The state machine follows SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
 * Group Membership Protocol", 2002): random probes, indirect probes, suspicion with incarnation numbers and facts
 * piggybacked on probes. From Lifeguard (Dadgar, Phillips and Currey, 2018) comes the rule that a node accuses another
 * one only with evidence that its own receiving works, so that one-way loss at one node does not spread suspicion.
 *
 * <p>Alternatives considered: heartbeats from all to all exceed the byte budget at 340 nodes; probing across all data
 * centres makes a partition between regions look like the death of half the fleet. Here a node is judged only within its
 * own data centre, and a few gateways judge whether other data centres can be reached. Facts that must arrive within
 * seconds are forwarded at once by every node that learns them, because probes alone need about one second per round.
 */
package org.cowslipbank.decision.membership;
