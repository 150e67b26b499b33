package org.cowslipbank.model.relay;

/**
 * A service's share of a route's requests.
 *
 * @param service the service's name
 * @param weight relative weight; zero for no requests
 */
public record ServiceShare(String service, double weight) {}
