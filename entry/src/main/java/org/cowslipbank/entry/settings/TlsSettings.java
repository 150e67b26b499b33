package org.cowslipbank.entry.settings;

/**
 * TLS of the listeners and between nodes.
 *
 * @param certificateFile certificate chain in PEM
 * @param keyFile private key in PEM
 * @param trustFile certificates in PEM that other nodes' certificates must be signed by
 */
public record TlsSettings(String certificateFile, String keyFile, String trustFile) {}
