/** Typed records of a deployment whose routes, teams and upstreams are kept by the platform. */
package org.cowslipbank.model.relay;
