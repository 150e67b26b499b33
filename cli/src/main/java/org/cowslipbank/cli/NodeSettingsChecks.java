package org.cowslipbank.cli;

import java.nio.file.Path;

import org.cowslipbank.entry.settings.ListenSettings;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.model.ConfigurationException;

/** Checks that the settings of a node contain all required values. */
final class NodeSettingsChecks {
    private NodeSettingsChecks() {}

    static NodeSettings requireComplete(Path file, NodeSettings settings) throws ConfigurationException {
        requireText(file, "vm", settings.vm());
        requireText(file, "dataCentre", settings.dataCentre());
        requireText(file, "region", settings.region());
        requirePort(file, "callers", settings.callers());
        requirePort(file, "admin", settings.admin());
        requirePort(file, "peers", settings.peers());
        requireText(file, "fleetSecretFile", settings.fleetSecretFile());
        requireText(file, "adminKeysFile", settings.adminKeysFile());
        if (settings.platform() == null) {
            throw missingValue(file, "platform", "the addresses of the platform's services");
        }
        requireText(file, "platform.keyValueAddress", settings.platform().keyValueAddress());
        requireText(file, "platform.vmListAddress", settings.platform().vmListAddress());
        return settings;
    }

    private static void requireText(Path file, String path, String value) throws ConfigurationException {
        if (value == null || value.isBlank()) {
            throw missingValue(file, path, "a text");
        }
    }

    private static void requirePort(Path file, String path, ListenSettings value) throws ConfigurationException {
        if (value == null || value.host() == null || value.port() < 1) {
            throw missingValue(file, path, "an object with 'host' and a 'port' from 1");
        }
    }

    private static ConfigurationException missingValue(Path file, String path, String expected) {
        return new ConfigurationException(file.toString(), 0, "$." + path, "expected " + expected);
    }
}
