package org.cowslipbank.entry.settings;

/**
 * Addresses of the platform's services.
 *
 * @param keyValueAddress the key-value service as {@code IP:port}
 * @param vmListAddress the VM list as {@code IP:port}
 */
public record PlatformSettings(String keyValueAddress, String vmListAddress) {}
