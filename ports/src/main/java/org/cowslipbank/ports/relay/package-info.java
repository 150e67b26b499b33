/** Narrow interfaces to the platform: its metadata store, its upstreams, and the formats that clients speak. */
package org.cowslipbank.ports.relay;
