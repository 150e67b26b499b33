package org.cowslipbank.entry.settings;

/**
 * TLS files for the HTTP listeners and the connections between nodes.
 *
 * @param certificateFile certificate chain in PEM
 * @param keyFile private key in PEM
 * @param trustFile CA certificates in PEM that must have signed the certificates of other nodes
 */
public record TlsSettings(String certificateFile, String keyFile, String trustFile) {}
