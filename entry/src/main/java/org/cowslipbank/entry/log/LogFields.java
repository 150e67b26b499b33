package org.cowslipbank.entry.log;

import java.util.Map;

import org.apache.logging.log4j.message.MapMessage;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

/** A structured log event. It must never hold prompt text or keys. Numbers and truth values keep their type in JSON. */
public final class LogFields extends MapMessage<LogFields, Object> {
    private static final long serialVersionUID = 2L;

    private LogFields(String event) {
        with("message", event);
    }

    private LogFields(Map<String, Object> fields) {
        super(fields);
    }

    @Override
    public LogFields newInstance(Map<String, Object> fields) {
        return new LogFields(fields);
    }

    /**
     * Creates an event.
     *
     * @param event what happened, in a few words
     * @return the event
     */
    public static LogFields event(String event) {
        return new LogFields(event);
    }

    /**
     * Adds the identifier of the request.
     *
     * @param request the request
     * @return this event
     */
    public LogFields request(RequestId request) {
        with("request", request.value());
        return this;
    }

    /**
     * Adds the identifier of the team.
     *
     * @param team the team
     * @return this event
     */
    public LogFields team(TeamId team) {
        with("team", team.value());
        return this;
    }

    /**
     * Adds the processing step at which the event occurred.
     *
     * @param step the step
     * @return this event
     */
    public LogFields step(ProcessingStep step) {
        with("step", step.name());
        return this;
    }

    /**
     * Adds the remote side of the call.
     *
     * @param peer the peer's name or address
     * @return this event
     */
    public LogFields peer(String peer) {
        with("peer", peer);
        return this;
    }

    /**
     * Adds the text of an error.
     *
     * @param error the error
     * @return this event
     */
    public LogFields error(Throwable error) {
        with("error", String.valueOf(error));
        return this;
    }

    /**
     * Adds a named field.
     *
     * @param name the field's name, with its unit as a suffix
     * @param value the value
     * @return this event
     */
    public LogFields field(String name, Object value) {
        if (value instanceof Number || value instanceof Boolean) {
            with(name, value);
        } else {
            with(name, String.valueOf(value));
        }
        return this;
    }
}
