/**
 * Commands to engines: one controller per model group, elected by a lease of the key-value service.
 *
 * <p>The decisions are in {@link org.cowslipbank.decision.rollout}; this package carries out their effects.
 */
package org.cowslipbank.entry.rollout;
