package org.cowslipbank.entry.traffic;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.HexFormat;

import org.cowslipbank.model.TeamId;

/** Derives keys for each team from the fleet's secret, so that equal prompts of two teams never share a block key. */
public final class TeamSecrets {
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec fleetKey;

    /**
     * Creates the key derivation.
     *
     * @param fleetSecret the fleet's secret, not empty
     */
    public TeamSecrets(byte[] fleetSecret) {
        fleetKey = new SecretKeySpec(fleetSecret, ALGORITHM);
    }

    byte[] hashingKey(TeamId team) {
        return derive("block-key:" + team.value());
    }

    String cacheSalt(TeamId team) {
        return HexFormat.of().formatHex(derive("cache-salt:" + team.value()));
    }

    private byte[] derive(String purpose) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(fleetKey);
            return mac.doFinal(purpose.getBytes(StandardCharsets.UTF_8));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is required of every Java platform", e);
        }
    }
}
