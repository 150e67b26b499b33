package org.cowslipbank.peer;

import java.nio.file.Path;

/**
 * Files for mutual TLS between nodes: both sides present a certificate.
 *
 * @param certificateFile PEM file with the node's certificate chain
 * @param keyFile PEM file with the node's private key
 * @param authorityFile PEM file with the certificate authorities trusted to sign peers' certificates
 */
public record PeerTls(Path certificateFile, Path keyFile, Path authorityFile) {}
