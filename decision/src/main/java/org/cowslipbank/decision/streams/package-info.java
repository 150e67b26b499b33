/**
 * What is the state of one answer: which attempt runs, which tokens the caller has, and what happens next?
 *
 * <p>{@link org.cowslipbank.decision.streams.StreamMachine} is a pure state machine. It guarantees that a caller gets
 * every token index once and in order, followed by one completion, or else one error with a correct run state. Events of
 * other attempts are dropped by attempt identifier, so late and misdelivered answers cannot reach a caller.
 *
 * <p>Rules:
 *
 * <ul>
 *   <li>A token is emitted only if its index equals the number of tokens emitted and the engine has reported the
 *       expected weight version. A higher index or a completion with a higher token count means that events were lost;
 *       the stream then resumes from the first missing token.
 *   <li>A lost or silent connection is first replaced and the run resumed; only if that fails is the upstream given up.
 *   <li>If an attempt is given up before the first token, the next one starts from the beginning on another upstream.
 *       After the first token, the next attempt continues from the emitted tokens on the same weight version.
 *   <li>The run state of an error combines the run states of all attempts: {@code not_run} only if no attempt can have
 *       reached an engine.
 * </ul>
 *
 * <p>Alternatives considered: keeping the emitted text in the state makes the cost of an answer quadratic in its length,
 * because each token needs an immutable copy. The caller of the state machine, which needs the text for a continuation,
 * keeps it, and the state only counts tokens. Restarting a non-streaming answer repeats work that a continuation keeps,
 * so it is used only when no upstream has the weight version any more.
 */
package org.cowslipbank.decision.streams;
