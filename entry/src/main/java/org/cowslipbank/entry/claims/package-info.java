/**
 * At-most-once claims at a node: the claims partitions that it owns, their calls to the key-value service, forwarding
 * to partition owners, and the rate budget for the platform.
 */
package org.cowslipbank.entry.claims;
