package org.cowslipbank.bench.demo;

/**
 * What a run of a deployment showed.
 *
 * @param deployment the deployment's name
 * @param requests prompts and orders sent
 * @param answeredOnce prompts and orders whose whole answer arrived and that ran as often as they may
 * @param lost prompts that were never answered, and orders that were neither answered nor told as unknown
 * @param doubled orders that ran more than once, and answers with tokens twice
 * @param wrongAnswers answers that are not the whole answer to their own prompt
 * @param falseNotRun refusals of orders that said "not run" although the order had run
 * @param outcomeUnknown orders whose callers were told that the outcome is unknown
 * @param crossTeam blocks used for a prompt they were not computed from
 * @param ttftFirstP95Ms 95th percentile of time to first token of first prompts, in milliseconds
 * @param ttftReturningP95Ms the same for returning prompts, in milliseconds
 * @param recomputedShare share of the returning prompts' tokens that were computed again
 * @param linkBytes bytes over the stores' links
 * @param configAppliedMs time from sending the change until the slowest node had applied it, in milliseconds
 */
public record DemoOutcome(
        String deployment,
        int requests,
        int answeredOnce,
        int lost,
        int doubled,
        int wrongAnswers,
        int falseNotRun,
        int outcomeUnknown,
        long crossTeam,
        double ttftFirstP95Ms,
        double ttftReturningP95Ms,
        double recomputedShare,
        long linkBytes,
        double configAppliedMs) {
    /** Time within which a change must be in force at every node, in milliseconds (P9, today's bound). */
    public static final double CONFIG_BOUND_MILLIS = 5_000;

    /**
     * Tells whether every promise held.
     *
     * @return true if nothing was lost, doubled, mixed up or answered falsely, and the change was in force in time
     */
    public boolean promisesHeld() {
        boolean nothingLost = lost == 0 && doubled == 0 && wrongAnswers == 0 && falseNotRun == 0 && crossTeam == 0;
        boolean applied = configAppliedMs >= 0 && configAppliedMs <= CONFIG_BOUND_MILLIS;
        return nothingLost && applied && answeredOnce + outcomeUnknown == requests;
    }
}
