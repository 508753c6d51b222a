package org.sequoiashunt.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiashunt.store.StoreRevision;

/** Moves over restores of the store, which shows and gets orders again under other revisions. */
class VersionMoveTest {

    /** What nodes may hold: orders v1 and v2 that ended, and in the next era the copy's order and the repeated one. */
    private static List<VersionMove> values(final String copiedVersion, final long copied, final long repeated) {
        VersionMove first = VersionMove.of("desk", "v1", 5, MoveState.COMPLETED, 900);
        VersionMove second = VersionMove.of("desk", "v2", 9, MoveState.ROLLED_BACK, 0);
        return List.of(
                VersionMove.of("desk", "v2", 9, MoveState.RUNNING, 300).withDuration(8_000),
                second.asRecorded().merge(first),
                VersionMove.of("desk", copiedVersion, StoreRevision.of(1, copied), MoveState.RUNNING, 0),
                VersionMove.of("desk", "v2", StoreRevision.of(1, repeated), MoveState.RUNNING, 40));
    }

    /** Guards against nodes that run an ended move again, or disagree, by the order in which they learn of it. */
    @ParameterizedTest
    @CsvSource({"v1, 5, 8", "v1, 5, 9", "v1, 5, 30", "v2, 9, 12"})
    void nodesAgreeThatTheMoveEndedInWhateverOrderTheyLearnOfIt(
            final String copiedVersion, final long copied, final long repeated) {
        Random random = new Random(11);
        for (int round = 0; round < 200; round++) {
            List<VersionMove> shuffled = new ArrayList<>(values(copiedVersion, copied, repeated));
            Collections.shuffle(shuffled, random);
            VersionMove merged = shuffled.get(0);
            for (VersionMove value : shuffled) {
                assertEquals(merged.merge(value), value.merge(merged));
                merged = merged.merge(value);
            }
            // Nodes exchange their values until they no longer change.
            for (VersionMove value : shuffled) {
                merged = merged.merge(value);
            }
            assertEquals("v2", merged.version(), shuffled::toString);
            assertEquals(MoveState.ROLLED_BACK, merged.state(), shuffled::toString);
            assertTrue(merged.excludes("v2"));
        }
    }

    /** Guards against an ended move that begins again: two restores show its order under its first revision again. */
    @ParameterizedTest
    @CsvSource({"9, 30", "12, 30", "5, 30", "5, 8"})
    void moveStaysEndedAfterASecondRestore(final long copiedAgain, final long repeatedAgain) {
        VersionMove ended = VersionMove.of("desk", "v2", 9, MoveState.RUNNING, 0)
                .withVerdicts(List.of(new VersionVerdict("v1", 5, false)))
                .next(MoveState.ROLLED_BACK, 0);
        VersionMove copied = VersionMove.of("desk", "v2", StoreRevision.of(1, 9), MoveState.RUNNING, 0);
        VersionMove repeated = VersionMove.of("desk", "v2", StoreRevision.of(1, 12), MoveState.RUNNING, 0);
        VersionMove copy = VersionMove.of(
                "desk", copiedAgain == 5 ? "v1" : "v2", StoreRevision.of(2, copiedAgain), MoveState.RUNNING, 0);
        VersionMove last = VersionMove.of("desk", "v2", StoreRevision.of(2, repeatedAgain), MoveState.RUNNING, 40);
        VersionMove merged = ended;
        for (VersionMove value : List.of(copied, repeated, copy, last, copy, repeated, copied, ended)) {
            assertEquals(merged.merge(value), value.merge(merged));
            merged = merged.merge(value);
            assertEquals("v2", merged.version(), merged::toString);
            assertEquals(MoveState.ROLLED_BACK, merged.state(), merged::toString);
        }
        VersionMove ordered = VersionMove.of("desk", "v2", StoreRevision.of(2, 40), MoveState.RUNNING, 0);
        assertEquals(MoveState.RUNNING, merged.merge(ordered).state(), "ordered once more by the operator");
    }

    /** Guards against an order that is ignored because a lost one had the revision that it got. */
    @Test
    void orderOfTheSameEraIsNewWhateverItsRevision() {
        VersionMove lost = VersionMove.of("desk", "v2", 30, MoveState.ROLLED_BACK, 0);
        VersionMove repeated = VersionMove.of("desk", "v2", StoreRevision.of(1, 12), MoveState.RUNNING, 0);
        VersionMove ordered = VersionMove.of("desk", "v2", StoreRevision.of(1, 30), MoveState.RUNNING, 0);
        VersionMove merged = lost.merge(repeated).merge(ordered);
        assertEquals(ordered.order(), merged.order());
        assertEquals(MoveState.RUNNING, merged.state());
    }
}
