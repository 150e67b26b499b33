/**
 * The soak test: nodes run as processes on loopback between stand-ins, while proxies and signals inject faults, clients
 * send requests, and a checker verifies the guarantees to clients and upstreams.
 */
package org.cowslipbank.soak;
