/**
 * Which call of a non-repeatable request may be sent, and what a repeated call is told.
 *
 * <p>Claims are records in a log per partition. Log values are created only if absent, so the sequence number fences a
 * paused or mistaken owner: its create fails, it reads what it missed and decides again. A claim is granted only to the
 * call whose token is the first in the log for its key.
 *
 * <p>Alternatives considered: one value per claim costs a write for every order and exceeds the service's rate at 500
 * orders a second; a lease per partition would not fence a paused holder without a check at the plain service; a
 * replicated log of the nodes' own would be a second coordination service.
 */
package org.cowslipbank.decision.claims;
