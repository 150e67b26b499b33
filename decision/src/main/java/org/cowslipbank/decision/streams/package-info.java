/**
 * What is the state of one answer: which attempt runs, which tokens the caller has, and what happens next?
 *
 * <p>{@link org.cowslipbank.decision.streams.StreamMachine} is a pure state machine. It guarantees that a caller gets
 * every token index once and in order followed by one completion, or one error whose run state is true. Events of
 * other attempts are dropped by attempt identifier, so late and misdelivered answers cannot reach a caller.
 *
 * <p>Rules:
 *
 * <ul>
 *   <li>A token is emitted only if its index equals the number of tokens emitted and the engine has named the expected
 *       weight version. A higher index or a completion with a higher token count shows lost events: the stream is
 *       resumed from the first missing token.
 *   <li>A lost or silent connection is replaced and the run resumed before the upstream is given up.
 *   <li>Before the first token a given-up attempt is followed by an attempt elsewhere. After it, the next attempt
 *       continues from the emitted tokens on the same weight version.
 *   <li>The run state of an error combines what is known of all attempts: {@code not_run} only if no attempt can have
 *       reached an engine.
 * </ul>
 *
 * <p>Alternatives considered: holding the emitted text in the state was rejected because an immutable copy for each
 * token makes the cost of an answer quadratic in its length; the shell, which needs the text for a continuation, keeps
 * it and the machine counts. Restarting a non-streaming answer from zero was rejected where a continuation is
 * possible, because it repeats work; it is used only when no upstream has the weight version any more.
 */
package org.cowslipbank.decision.streams;
