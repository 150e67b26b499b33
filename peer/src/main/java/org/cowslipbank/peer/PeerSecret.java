package org.cowslipbank.peer;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

import org.cowslipbank.model.ConfigurationException;

/** The secret with which nodes authenticate each other. Its bytes are never logged. */
public final class PeerSecret {
    /** Minimum length of a secret in bytes. */
    public static final int MIN_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final byte[] keyBytes;

    private PeerSecret(byte[] keyBytes) {
        this.keyBytes = keyBytes;
    }

    /**
     * Reads the secret from a file. All bytes count, a trailing line end included.
     *
     * @param file the file
     * @return the secret
     * @throws ConfigurationException if the file cannot be read or is shorter than {@link #MIN_BYTES}
     */
    public static PeerSecret read(Path file) throws ConfigurationException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new ConfigurationException(file.toString(), 0, "$", "cannot read peer secret file");
        }
        if (bytes.length < MIN_BYTES) {
            throw new ConfigurationException(
                    file.toString(),
                    0,
                    "$",
                    "peer secret has " + bytes.length + " bytes, expected at least " + MIN_BYTES);
        }
        return new PeerSecret(bytes);
    }

    /**
     * Creates a secret from a copy of the given bytes.
     *
     * @param bytes the bytes, at least {@link #MIN_BYTES} of them
     * @return the secret
     * @throws IllegalArgumentException if the secret is too short
     */
    public static PeerSecret of(byte[] bytes) {
        if (bytes.length < MIN_BYTES) {
            throw new IllegalArgumentException(
                    "peer secret has " + bytes.length + " bytes, expected at least " + MIN_BYTES);
        }
        return new PeerSecret(bytes.clone());
    }

    byte[] sign(byte[] data) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(keyBytes, ALGORITHM));
            return mac.doFinal(data);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the JDK does not provide " + ALGORITHM, e);
        }
    }

    boolean verify(byte[] data, byte[] signature) {
        return MessageDigest.isEqual(sign(data), signature);
    }

    @Override
    public String toString() {
        return "PeerSecret";
    }
}
