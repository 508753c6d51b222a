package org.sequoiashunt.trial.execution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiashunt.execution.ClaimRule;

final class ClaimModelTest {

    /** Needs a roster that shrinks to one guard, which the schedules hardly have; ClaimCoordinatorTest shows it. */
    private static final Set<ClaimRule> SHOWN_ELSEWHERE = EnumSet.of(ClaimRule.SHARED_MAJORITY);

    /** Seeds of schedules that run a key twice when one rule is off. */
    static Stream<Arguments> counterexamples() {
        return Stream.of(
                Arguments.of(ClaimRule.MAJORITY, 1),
                Arguments.of(ClaimRule.COMPLETE_HISTORY, 1),
                Arguments.of(ClaimRule.KEY_HISTORY, 14),
                Arguments.of(ClaimRule.FIRST_EPOCH_WITNESSED, 307),
                Arguments.of(ClaimRule.FENCE, 13),
                Arguments.of(ClaimRule.EPOCH_CHECK, 583),
                Arguments.of(ClaimRule.SETTLED_EPOCH, 1),
                Arguments.of(ClaimRule.SINGLE_CHANGE, 1299),
                Arguments.of(ClaimRule.CONFIRMED_START, 33),
                Arguments.of(ClaimRule.ATTEMPT_DEADLINE, 1),
                Arguments.of(ClaimRule.ENTRY_PAUSE, 15),
                Arguments.of(ClaimRule.BOTH_HOMES, 4),
                Arguments.of(ClaimRule.REFUSE_WHEN_FULL, 1));
    }

    @ParameterizedTest
    @MethodSource("counterexamples")
    void runsAKeyTwiceWithoutTheRule(final ClaimRule rule, final long seed) {
        List<String> contradictions =
                ClaimModel.run(seed, ClaimRule.allBut(rule)).contradictions();
        assertTrue(contradictions.stream().anyMatch(text -> text.startsWith("doubled run")), rule + " seed " + seed);
    }

    @ParameterizedTest
    @MethodSource("counterexamples")
    void runsNoKeyTwiceWithAllRules(final ClaimRule rule, final long seed) {
        assertEquals(List.of(), ClaimModel.run(seed, ClaimRule.all()).contradictions(), "seed " + seed);
    }

    @Test
    void hasACounterexampleForEachRule() {
        Set<ClaimRule> shown =
                counterexamples().map(pair -> (ClaimRule) pair.get()[0]).collect(Collectors.toSet());
        shown.addAll(SHOWN_ELSEWHERE);
        assertEquals(ClaimRule.all(), shown);
    }

    @Property(tries = 200, seed = "4200", shrinking = ShrinkingMode.OFF)
    void runsEachKeyAtMostOnce(@ForAll final long seed) {
        assertEquals(List.of(), ClaimModel.run(seed, ClaimRule.all()).contradictions(), "seed " + seed);
    }

    @Test
    void givesTheSameHistoryForTheSameSeed() {
        ScheduleReport first = ClaimModel.run(3, ClaimRule.all());
        assertEquals(first, ClaimModel.run(3, ClaimRule.all()));
        assertTrue(first.keysRun() > 0);
    }
}
