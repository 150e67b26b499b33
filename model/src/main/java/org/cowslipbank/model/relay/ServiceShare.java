package org.cowslipbank.model.relay;

/**
 * Share of a route's requests that goes to a service.
 *
 * @param service the service's name
 * @param weight relative weight; zero for a service that gets none
 */
public record ServiceShare(String service, double weight) {}
