package org.cowslipbank.entry.configuration;

import org.cowslipbank.config.ConfigurationEdit;
import org.cowslipbank.decision.configuration.ChangeMetadata;

/**
 * An operator's request to change the configuration.
 *
 * @param metadata who makes it, why, and its change identifier; a repeated request must reuse the identifier
 * @param ifMatchRevision the revision on which the change is based; any other revision in force is a conflict
 * @param edit the edit to apply to that revision
 */
public record ChangeRequest(ChangeMetadata metadata, long ifMatchRevision, ConfigurationEdit edit) {}
