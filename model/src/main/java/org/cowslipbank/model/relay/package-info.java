/** Typed records for deployments whose routes, teams and upstreams are stored in the platform's metadata store. */
package org.cowslipbank.model.relay;
