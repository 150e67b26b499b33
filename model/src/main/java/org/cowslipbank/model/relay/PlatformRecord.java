package org.cowslipbank.model.relay;

/** What an item of the metadata store means. */
public sealed interface PlatformRecord {
    /**
     * The operators' configuration.
     *
     * @param configuration the configuration
     */
    record Configured(RelayConfiguration configuration) implements PlatformRecord {}

    /**
     * A weight version was named.
     *
     * @param version the version
     */
    record Named(NamedVersion version) implements PlatformRecord {}

    /**
     * An upstream registered itself.
     *
     * @param server the upstream
     */
    record Registered(UpstreamServer server) implements PlatformRecord {}

    /**
     * An upstream's registration is gone.
     *
     * @param serverId the upstream's identifier
     */
    record Unregistered(String serverId) implements PlatformRecord {}

    /**
     * An item of the nodes themselves; its value is not decoded here.
     *
     * @param item the item
     */
    record Own(StoreItem item) implements PlatformRecord {}

    /**
     * An item that no reader of the nodes knows.
     *
     * @param key its key
     * @param reason why it was not understood
     */
    record Unreadable(String key, String reason) implements PlatformRecord {}
}
