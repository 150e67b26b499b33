package org.cowslipbank.peer;

import java.nio.file.Path;

/**
 * TLS between nodes. Both sides present a certificate.
 *
 * @param certificateFile PEM file with the node's certificate chain
 * @param keyFile PEM file with the node's private key
 * @param authorityFile PEM file with the authorities that sign peers' certificates
 */
public record PeerTls(Path certificateFile, Path keyFile, Path authorityFile) {}
