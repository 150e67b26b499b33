package org.cowslipbank.bench.demo;

/**
 * Result of a demonstration run of one deployment.
 *
 * @param deployment the deployment's name
 * @param requests prompts and orders sent
 * @param answeredOnce prompts whose complete answer arrived, and orders that were answered and ran exactly once
 * @param lost prompts that were never answered, and orders that were answered without having run
 * @param doubled orders that ran more than once
 * @param wrongAnswers answers whose text differs from the expected answer to their prompt
 * @param falseNotRun refusals that stated "not run" for an order that had run
 * @param outcomeUnknown orders whose outcome the caller does not know
 * @param crossTeam cache blocks used for a prompt they were not computed from
 * @param ttftFirstP95Ms 95th percentile of time to first token of the first prompt of a session, in milliseconds
 * @param ttftReturningP95Ms the same for returning prompts, in milliseconds
 * @param recomputedShare share of the returning prompts' tokens that were recomputed
 * @param linkBytes bytes sent over the links of the stores
 * @param configAppliedMs time from sending the change of weights until the slowest live node had applied it, in
 *     milliseconds; negative if it was not applied
 */
public record DemoResult(
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
    /** Time within which every node must have applied a change, in milliseconds (P9, at today's fleet size). */
    public static final double CONFIG_BOUND_MILLIS = 5_000;

    /**
     * Tells whether every guarantee held.
     *
     * @return true if no request was lost, run twice, answered wrongly or falsely refused, no block crossed teams, and
     *     the change was applied in time
     */
    public boolean allGuaranteesHeld() {
        boolean nothingLost = lost == 0 && doubled == 0 && wrongAnswers == 0 && falseNotRun == 0 && crossTeam == 0;
        boolean applied = configAppliedMs >= 0 && configAppliedMs <= CONFIG_BOUND_MILLIS;
        return nothingLost && applied && answeredOnce + outcomeUnknown == requests;
    }
}
