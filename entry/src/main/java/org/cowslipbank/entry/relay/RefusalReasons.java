package org.cowslipbank.entry.relay;

import java.util.Set;

/** Reasons for which a node refuses or fails a request itself, as logs and other nodes get them. */
final class RefusalReasons {
    /** The attempts have failed, and no further one is allowed. */
    static final String ATTEMPTS_FAILED = "attempts_failed";

    /** At the recent pace of placements, the request would still wait when it must be given up. */
    static final String BACKLOG = "backlog";

    /** The node that has passed the request on knows a newer configuration. */
    static final String CONFIGURATION_OLDER = "configuration_older";

    /** The metadata store has not confirmed the configuration recently. */
    static final String CONFIGURATION_UNCONFIRMED = "configuration_unconfirmed";

    /** The request, or a part of its prompt, has crashed upstreams. */
    static final String CRASHED_UPSTREAMS = "crashed_upstreams";

    /** The memory for bodies and unread answers is used up. */
    static final String HELD_MEMORY = "held_memory";

    /** A step of the node failed unexpectedly. */
    static final String INTERNAL_ERROR = "internal_error";

    /** The node has not read a configuration since its start. */
    static final String NO_CONFIGURATION = "no_configuration";

    /** The node is cut off, and no other node can be asked. */
    static final String NO_REACHABLE_UPSTREAM = "no_reachable_upstream";

    /** The request has no id. */
    static final String NO_REQUEST_ID = "no_request_id";

    /** No upstream had room before the request had to be given up. */
    static final String NO_ROOM = "no_room";

    /** The configuration has no route for the host and the path. */
    static final String NO_ROUTE = "no_route";

    /** The route has no service with a weight above zero. */
    static final String NO_SERVICE = "no_service";

    /** The node to which the request was passed on is cut off from the upstreams itself. */
    static final String NODE_CUT_OFF = "node_cut_off";

    /** The node stops before the request could be answered. */
    static final String NODE_STOPPING = "node_stopping";

    /** The node itself has no processor time to start the request in time. */
    static final String OVERLOADED = "overloaded";

    /** Engines of another software version may have begun the stream, as far as this node knows. */
    static final String SOFTWARE_VERSIONS_UNCONFIRMED = "software_versions_unconfirmed";

    /** The report on where the stream began may have been replaced, as far as this node knows. */
    static final String STREAM_ORIGIN_UNCONFIRMED = "stream_origin_unconfirmed";

    /** The software version at which the stream began is not known. */
    static final String STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown";

    /**
     * The request was reported at a software version at which no upstream is left to try, and the metadata store does not take
     * another report.
     */
    static final String STREAM_REPORT_NOT_REPLACED = "stream_report_not_replaced";

    /** The request's time limit has passed. */
    static final String TIMEOUT = "timeout";

    /** The request has no key of a team. */
    static final String UNKNOWN_KEY = "unknown_key";

    /** All upstreams have asked for a pause beyond the time of the request. */
    static final String UPSTREAMS_PAUSE = "upstreams_pause";

    /** No upstream of the software version to which the stream is bound is registered. */
    static final String VERSION_GONE = "software_version_gone";

    private static final Set<String> OF_THIS_NODE = Set.of(
            BACKLOG,
            CONFIGURATION_OLDER,
            CONFIGURATION_UNCONFIRMED,
            NO_CONFIGURATION,
            NO_ROOM,
            NODE_STOPPING,
            OVERLOADED,
            SOFTWARE_VERSIONS_UNCONFIRMED,
            STREAM_ORIGIN_UNCONFIRMED,
            STREAM_ORIGIN_UNKNOWN,
            STREAM_REPORT_NOT_REPLACED);

    private RefusalReasons() {}

    /**
     * Returns whether a reason does not hold for another node.
     *
     * @param reason the reason
     * @return true if the node that has passed the request on may pass it to a third one
     */
    static boolean isOfThisNode(String reason) {
        return OF_THIS_NODE.contains(reason);
    }
}
