package org.cowslipbank.entry.traffic;

import java.util.List;

import org.cowslipbank.config.Team;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.SessionKey;

/**
 * The properties of a prompt that routing depends on.
 *
 * @param team the team
 * @param session the session key
 * @param model the model, weight version and adapter requested
 * @param chain identities of the prompt's full blocks
 * @param promptBytes length of the prompt in bytes
 */
record PromptOutline(Team team, SessionKey session, ModelRef model, List<BlockIdentity> chain, int promptBytes) {}
