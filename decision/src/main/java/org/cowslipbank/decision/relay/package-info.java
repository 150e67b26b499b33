/**
 * Which upstream a relayed request goes to, when it moves to another one, and whether a node may still serve.
 *
 * <p>Alternatives considered: placing by the least reported load, which asks every engine for reports and reads shared
 * prompt parts again at each engine; and keeping the owner of each part in the metadata store, which costs a call a
 * request. Rendezvous hashing on the last shared part needs neither.
 */
package org.cowslipbank.decision.relay;
