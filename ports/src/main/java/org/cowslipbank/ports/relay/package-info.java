/** Interfaces to the platform: its metadata store, its upstreams and the request format of clients. */
package org.cowslipbank.ports.relay;
