package org.cowslipbank.decision.relay;

import java.util.Locale;

/** Whether an upstream may get a certain request now, or the first reason that was found why not. */
public enum Eligibility {
    /** It may get the request. */
    ELIGIBLE,
    /** Its registration says that it accepts no new requests. */
    DRAINING,
    /** A later registration has the same address. */
    REPLACED,
    /** Its data centre is evacuated. */
    EVACUATED,
    /** The request goes on with a stream that began at another software version. */
    OTHER_SOFTWARE_VERSION,
    /** Its weights are too old for a new request. */
    OLD_WEIGHTS,
    /** A stream may not begin there before its software version is recorded. */
    SOFTWARE_VERSION_NOT_RECORDED,
    /** The metadata store, which does not answer, may hold a report that the request was sent to another software version. */
    OTHER_VERSION_REPORTED,
    /** It has not taken request bodies that this node sends to it, so that a further long one would not fit. */
    UNREAD_BODIES,
    /** It has announced in an answer that it leaves. */
    LEAVING,
    /** It has asked this node for a pause. */
    PAUSED,
    /** It names a limit, and this node's share of it is used up. */
    LIMITED,
    /** It is cold, and this node has no permit. */
    COLD_WITHOUT_PERMIT,
    /** It is brittle or not known to be sound, and this node's share of its slots is used up. */
    BRITTLE,
    /** It was found unreachable or failing, or has rejected a request, a short time ago. */
    QUARANTINED,
    /** It has sent nothing for too long although requests are in flight. */
    SILENT,
    /** It is about to load weights, and other upstreams are available. */
    SWITCHING_WEIGHTS,
    /** It is an engine without capacity for the prompt. */
    NO_CAPACITY;

    private final String code = name().toLowerCase(Locale.ROOT);

    /**
     * Returns whether the upstream may get the request.
     *
     * @return false if this is a reason of exclusion
     */
    public boolean isEligible() {
        return this == ELIGIBLE;
    }

    /**
     * Returns the name that is shown to operators.
     *
     * @return the name in lower case
     */
    public String code() {
        return code;
    }
}
