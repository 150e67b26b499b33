/**
 * Selects the upstream of a relayed request, decides when a request moves to another upstream, and whether a node may
 * still serve.
 *
 * <p>Alternatives considered: placement by the lowest reported load, which needs reports from every engine and computes
 * shared prompt parts again at each engine; and storing the owner of each part in the metadata store, which costs one
 * call per request. Rendezvous hashing on the last shared part needs neither.
 */
package org.cowslipbank.decision.relay;
