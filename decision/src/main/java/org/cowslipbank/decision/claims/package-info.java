/**
 * Idempotency claims: which call of a non-repeatable request may be sent, and which answer a repeated call gets.
 *
 * <p>Claims are entries of one log for each partition. Log values are created only if absent, so the sequence number
 * acts as a fencing token: the create of a paused owner, or of a node that wrongly believes it is the owner, fails; it
 * then reads the values that it missed and decides again. A claim is granted only to the call whose token is the first
 * in the log for its key.
 *
 * <p>Alternatives considered: one value for each claim needs a write for every order and exceeds the rate of the
 * key-value service at 500 orders a second; a lease for each partition does not fence a paused holder unless the plain
 * service checks a fencing token; a log replicated between the nodes would be a second coordination service.
 */
package org.cowslipbank.decision.claims;
