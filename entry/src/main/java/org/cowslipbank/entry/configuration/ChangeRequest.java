package org.cowslipbank.entry.configuration;

import org.cowslipbank.config.ConfigurationEdit;
import org.cowslipbank.decision.configuration.ChangeOrder;

/**
 * An operator's change.
 *
 * @param order who makes it and why; repeat a request with the same change identifier
 * @param ifMatchRevision the revision that the operator has seen
 * @param edit the change
 */
public record ChangeRequest(ChangeOrder order, long ifMatchRevision, ConfigurationEdit edit) {}
