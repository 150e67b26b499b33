/**
 * The fault soak: real nodes as processes on loopback between stand-ins, a proxy that disturbs their connections,
 * signals, clients, and a ledger that checks the promises to clients and upstreams while all of it runs.
 */
package org.cowslipbank.soak;
