package org.cowslipbank.entry.log;

import org.apache.logging.log4j.message.StringMapMessage;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.Step;
import org.cowslipbank.model.TeamId;

/** One structured log event. It never holds prompt text or keys. */
public final class LogFields extends StringMapMessage {
    private static final long serialVersionUID = 1L;

    private LogFields(String event) {
        with("message", event);
    }

    /**
     * Begins an event.
     *
     * @param event what happened, in a few words
     * @return the event
     */
    public static LogFields event(String event) {
        return new LogFields(event);
    }

    /**
     * Names the request.
     *
     * @param request the request
     * @return this event
     */
    public LogFields request(RequestId request) {
        with("request", request.value());
        return this;
    }

    /**
     * Names the team.
     *
     * @param team the team
     * @return this event
     */
    public LogFields team(TeamId team) {
        with("team", team.value());
        return this;
    }

    /**
     * Names the step.
     *
     * @param step the step
     * @return this event
     */
    public LogFields step(Step step) {
        with("step", step.name());
        return this;
    }

    /**
     * Names the peer.
     *
     * @param peer the peer's name or address
     * @return this event
     */
    public LogFields peer(String peer) {
        with("peer", peer);
        return this;
    }

    /**
     * Adds an error.
     *
     * @param error the error
     * @return this event
     */
    public LogFields error(Throwable error) {
        with("error", String.valueOf(error));
        return this;
    }

    /**
     * Adds a field.
     *
     * @param name the field's name, with its unit as a suffix
     * @param value the value
     * @return this event
     */
    public LogFields field(String name, Object value) {
        with(name, String.valueOf(value));
        return this;
    }
}
