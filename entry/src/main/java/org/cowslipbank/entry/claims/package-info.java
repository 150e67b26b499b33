/**
 * At-most-once claims of a node: the partitions it works on, calls of the key-value service, forwarding to the
 * partition's owner and the platform budget.
 */
package org.cowslipbank.entry.claims;
