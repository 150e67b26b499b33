package org.cowslipbank.model.relay;

import java.util.OptionalLong;

/** A decoded item of the metadata store. */
public sealed interface PlatformRecord {
    /**
     * The operators' configuration.
     *
     * @param configuration the configuration
     */
    record Configured(RelayConfiguration configuration) implements PlatformRecord {}

    /**
     * The operators set a model's target weight version.
     *
     * @param version the version
     */
    record VersionNamed(TargetVersion version) implements PlatformRecord {}

    /**
     * An upstream registered itself.
     *
     * @param server the upstream
     * @param sequence number of its heartbeat, which starts anew with each incarnation; empty if not stated
     * @param coldRemainingMillis for how long it says to stay cold, in milliseconds, zero if it is not; empty if not stated
     */
    record Registered(UpstreamServer server, OptionalLong sequence, OptionalLong coldRemainingMillis)
            implements PlatformRecord {}

    /**
     * An upstream's registration was removed.
     *
     * @param serverId the upstream's identifier
     */
    record Unregistered(String serverId) implements PlatformRecord {}

    /**
     * The operators requested the evacuation of a data centre, or withdrew the request.
     *
     * @param dataCentre the data centre
     * @param requested false if the request was removed
     */
    record Evacuation(String dataCentre, boolean requested) implements PlatformRecord {}

    /**
     * An item written by the nodes themselves, which decode its value.
     *
     * @param item the item
     */
    record NodeItem(StoreItem item) implements PlatformRecord {}

    /**
     * An item that cannot be decoded: its key is unknown or its value malformed.
     *
     * @param key its key
     * @param reason why it cannot be decoded
     */
    record Unreadable(String key, String reason) implements PlatformRecord {}
}
