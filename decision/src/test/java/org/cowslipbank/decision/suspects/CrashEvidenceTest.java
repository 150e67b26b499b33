package org.cowslipbank.decision.suspects;

import java.util.Map;
import java.util.Set;

import net.jqwik.api.Example;
import org.cowslipbank.decision.suspects.CrashCauses.Suspect;

/** Tests the verdicts that follow from the reports of several nodes. */
final class CrashEvidenceTest {
    private static final Suspect POPULAR = new Suspect("popular", 0);
    private static final Suspect DEADLY = new Suspect("deadly", 1);

    private final CrashEvidence evidence = new CrashEvidence();

    private static CrashVerdicts suspectedOnly(String suspect) {
        return new CrashVerdicts(Set.of(), Set.of(), Map.of(), Set.of(suspect));
    }

    /** Failure guarded against: the reports of several nodes on one crash count as several crashes. */
    @Example
    void reportsOfOneCrashCountOnce() {
        evidence.addReport("i-1@1", Set.of(DEADLY), 1, 0);
        evidence.addReport("i-1@1", Set.of(DEADLY), 2, 0);
        evidence.addReport("i-1@1", Set.of(DEADLY), 3, 0);
        assert evidence.verdicts().equals(suspectedOnly("deadly")) : evidence.verdicts();
        evidence.addReport("i-1@2", Set.of(DEADLY), 4, 0);
        assert evidence.verdicts().watched().equals(Set.of("deadly")) : evidence.verdicts();
        evidence.addReport("i-2@1", Set.of(DEADLY), 5, 0);
        assert evidence.verdicts().refused().equals(Set.of("deadly")) : evidence.verdicts();
    }

    /** Failure guarded against: sound requests that share a popular part with crashing ones are refused. */
    @Example
    void partOfSoundAnswersIsCleared() {
        evidence.addReport("i-1@1", Set.of(DEADLY, POPULAR), 1, 0);
        evidence.addReport("i-2@1", Set.of(DEADLY, POPULAR), 2, 0);
        evidence.addSound(Map.of("popular", 2L));
        evidence.addReport("i-3@1", Set.of(DEADLY, POPULAR), 3, 0);
        assert evidence.verdicts().refused().equals(Set.of("deadly")) : evidence.verdicts();
        assert evidence.verdicts().watched().equals(Set.of("deadly")) : evidence.verdicts();
    }

    /** Failure guarded against: a part that was refused by mistake stays refused although an answer with it went on. */
    @Example
    void refusedPartIsClearedByLaterAnswer() {
        for (int crash = 1; crash <= 3; crash++) {
            evidence.addReport("i-" + crash + "@1", Set.of(POPULAR), crash, 0);
        }
        assert evidence.verdicts().refused().equals(Set.of("popular"));
        evidence.addSound(Map.of("popular", 3L));
        assert evidence.verdicts().equals(CrashVerdicts.NONE) : evidence.verdicts();
    }

    /** Failure guarded against: an answer that was seen before a crash clears the cause of that crash. */
    @Example
    void earlierAnswerDoesNotClearLaterCrash() {
        evidence.addSound(Map.of("deadly", 1L));
        for (int crash = 2; crash <= 4; crash++) {
            evidence.addReport("i-" + crash + "@1", Set.of(DEADLY), crash, 0);
        }
        assert evidence.verdicts().refused().equals(Set.of("deadly")) : evidence.verdicts();
    }

    /** Failure guarded against: a late addition to a report counts as a new crash after a sound answer. */
    @Example
    void laterReportOnTheSameCrashIsNoNewCrash() {
        for (int crash = 1; crash <= 3; crash++) {
            evidence.addReport("i-" + crash + "@1", Set.of(POPULAR), crash, 0);
        }
        evidence.addSound(Map.of("popular", 3L));
        evidence.addReport("i-3@1", Set.of(POPULAR, DEADLY), 4, 0);
        assert evidence.verdicts().equals(suspectedOnly("deadly")) : evidence.verdicts();
    }

    /** Failure guarded against: a node that has cleared a part by its own answers does not tell the nodes that refuse it. */
    @Example
    void partThatOtherNodesMayRefuseStaysWatched() {
        for (int crash = 1; crash <= 3; crash++) {
            evidence.addReport("i-" + crash + "@1", Set.of(POPULAR), crash, 0);
        }
        evidence.addOwnSound(Map.of("popular", 3L));
        assert evidence.verdicts().refused().isEmpty() : evidence.verdicts();
        assert evidence.verdicts().watched().equals(Set.of("popular")) : evidence.verdicts();
        evidence.addSound(Map.of("popular", 3L));
        assert evidence.verdicts().equals(CrashVerdicts.NONE) : evidence.verdicts();
    }

    /** Failure guarded against: a request is refused for ever because of crashes long ago. */
    @Example
    void oldReportsExpire() {
        for (int crash = 1; crash <= 3; crash++) {
            evidence.addReport("i-" + crash + "@1", Set.of(DEADLY), crash, 0);
        }
        evidence.addReport("i-9@1", Set.of(POPULAR), 9, CrashEvidence.REPORT_TTL_MILLIS + 1);
        assert evidence.verdicts().equals(suspectedOnly("popular")) : evidence.verdicts();
    }

    /** Failure guarded against: a part counts as at three crashes although answers with it went on well after the first. */
    @Example
    void crashBeforeASoundAnswerDoesNotCount() {
        evidence.addReport("i-1@1", Set.of(POPULAR, DEADLY), 1, 0);
        assert evidence.verdicts().suspected().equals(Set.of("popular", "deadly"));
        evidence.addOwnSound(Map.of("popular", 1L));
        assert evidence.verdicts().equals(suspectedOnly("deadly")) : evidence.verdicts();
        evidence.addReport("i-2@1", Set.of(POPULAR), 2, 0);
        evidence.addReport("i-3@1", Set.of(POPULAR), 3, 0);
        assert evidence.verdicts().refused().isEmpty() : evidence.verdicts();
        evidence.addReport("i-4@1", Set.of(POPULAR), 4, 0);
        assert evidence.verdicts().refused().equals(Set.of("popular")) : evidence.verdicts();
    }

    /** Failure guarded against: further crashes put off the refusal of a part that was in sound answers before them. */
    @Example
    void refusedPartIsWatchedSinceTheSecondCrashThatWasNotCleared() {
        evidence.addReport("i-1@1", Set.of(POPULAR), 1, 10);
        evidence.addSound(Map.of("popular", 1L));
        for (int crash = 2; crash <= 6; crash++) {
            evidence.addReport("i-" + crash + "@1", Set.of(POPULAR), crash, 10 * crash);
        }
        assert evidence.verdicts().watchedSinceMillis().equals(Map.of("popular", 30L)) : evidence.verdicts();
    }
}
