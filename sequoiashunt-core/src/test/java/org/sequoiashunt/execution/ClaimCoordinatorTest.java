package org.sequoiashunt.execution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;

final class ClaimCoordinatorTest {

    private final ClaimFixture fixture = new ClaimFixture();

    @Test
    void dispatchesOnceAMajorityHasGranted() {
        fixture.unreachable.add("guard3");
        var decision = fixture.claim("entry1", "first");
        assertFalse(decision.isDone());
        fixture.deliver();
        assertEquals(Optional.empty(), decision.getNow(null));
        assertTrue(fixture.beginDispatch("entry1", "first"));
    }

    @Test
    void answersAResendWithTheRecordedAnswer() {
        dispatch("entry1", "first");
        CallResult answer = CallResult.complete(new CallResponse(201, List.of(), Body.of(new byte[] {7})));
        fixture.record("entry1", "first", answer);
        assertEquals(Optional.of(answer), claim("entry2", "second"));
    }

    @Test
    void returnsInProgressWhileTheFirstAttemptMayBeRunning() {
        dispatch("entry1", "first");
        assertEquals(Optional.of(CallResult.unknown(Reason.IN_PROGRESS)), claim("entry2", "second"));
    }

    @Test
    void returnsAlreadyClaimedAfterTheDeadlineOfTheFirstAttempt() {
        dispatch("entry1", "first");
        fixture.advance(ClaimFixture.CALL_TIMEOUT_MS);
        assertEquals(Optional.of(CallResult.unknown(Reason.ALREADY_CLAIMED)), claim("entry2", "second"));
    }

    @Test
    void keepsTheClaimOfAnAttemptWithUnknownOutcome() {
        dispatch("entry1", "first");
        fixture.record("entry1", "first", CallResult.unknown(Reason.CONNECTION_FAILED));
        fixture.advance(ClaimFixture.TIMING.resendMs());
        assertTrue(claim("entry2", "second").isPresent());
    }

    @Test
    void grantsAResendAfterAnAttemptThatDidNotRun() {
        dispatch("entry1", "first");
        fixture.record("entry1", "first", CallResult.notRun(Reason.QUEUE_FULL));
        assertEquals(Optional.empty(), claim("entry2", "second"));
    }

    @Test
    void grantsOnlyOneOfTwoConcurrentAttempts() {
        var first = fixture.claim("entry1", "first");
        var second = fixture.claim("entry2", "second");
        fixture.deliverOnly("entry1", "guard1");
        fixture.deliverOnly("entry2", "guard2");
        fixture.deliver();
        long granted = List.of(first, second).stream()
                .filter(decision -> decision.getNow(null).isEmpty())
                .count();
        assertEquals(1, granted);
    }

    @Test
    void grantsAResendAfterASplitVoteWasReleased() {
        fixture.unreachable.add("guard3");
        var first = fixture.claim("entry1", "first");
        var second = fixture.claim("entry2", "second");
        fixture.deliverOnly("entry1", "guard1");
        fixture.deliverOnly("entry2", "guard2");
        fixture.advance(4_000);
        assertTrue(first.getNow(null).isPresent());
        assertTrue(second.getNow(null).isPresent());
        assertEquals(Optional.empty(), claim("entry1", "third"));
    }

    @Test
    void returnsClaimUnavailableWithoutAMajority() {
        fixture.unreachable.addAll(List.of("guard2", "guard3"));
        var decision = fixture.claim("entry1", "first");
        fixture.advance(3_000);
        assertEquals(Optional.of(CallResult.unknown(Reason.CLAIM_UNAVAILABLE)), decision.getNow(null));
    }

    @Test
    void doesNotCountGrantsOfRestartedGuardsWithinTheRetentionWindow() {
        fixture.startGuard("guard1", Optional.of(ClaimFixture.ROSTER));
        fixture.startGuard("guard2", Optional.of(ClaimFixture.ROSTER));
        fixture.advance(3_000);
        assertEquals(Optional.of(CallResult.unknown(Reason.CLAIM_UNAVAILABLE)), claim("entry1", "first"));
    }

    @Test
    void countsGrantsOfRestartedGuardsAfterTheRetentionWindow() {
        fixture.startGuard("guard1", Optional.of(ClaimFixture.ROSTER));
        fixture.startGuard("guard2", Optional.of(ClaimFixture.ROSTER));
        fixture.advance(ClaimFixture.TIMING.retentionMs() + 2_000);
        assertEquals(Optional.empty(), claim("entry1", "first"));
    }

    @Test
    void doesNotDispatchAGrantedAttemptAfterItsDeadline() {
        var decision = fixture.claim("entry1", "first");
        fixture.deliver();
        assertEquals(Optional.empty(), decision.getNow(null));
        fixture.clock.advance(ClaimFixture.CALL_TIMEOUT_MS + 1);
        assertFalse(fixture.beginDispatch("entry1", "first"));
        assertFalse(fixture.beginDispatch("entry1", "first"));
    }

    @Test
    void doesNotCountGrantsThatArriveAfterTheDeadline() {
        var decision = fixture.claim("entry1", "first");
        fixture.clock.advance(ClaimFixture.CALL_TIMEOUT_MS + 1);
        fixture.deliver();
        assertEquals(Optional.of(CallResult.unknown(Reason.CLAIM_UNAVAILABLE)), decision.getNow(null));
    }

    @Test
    void refusesClaimsDirectlyAfterAPause() {
        fixture.clock.advance(ClaimFixture.TIMING.pauseMs() + 1);
        var refusal = fixture.claim("entry1", "first").getNow(null);
        assertEquals(Optional.of(CallResult.unknown(Reason.CLAIM_UNAVAILABLE)), refusal);
    }

    @Test
    void refusesAnEntryWithAnOutdatedRoster() {
        assertEquals(1, countDispatchesWithAnOutdatedRoster(ClaimRule.all()));
    }

    @Test
    void dispatchesAKeyTwiceWithoutTheEpochCheck() {
        assertEquals(2, countDispatchesWithAnOutdatedRoster(ClaimRule.allBut(ClaimRule.EPOCH_CHECK)));
    }

    /** One entry has an outdated roster of guard1 only; the request of the other entry to guard1 is lost. */
    private static int countDispatchesWithAnOutdatedRoster(final Set<ClaimRule> rules) {
        ClaimFixture group = new ClaimFixture(rules);
        group.startEntry("outdated", new Roster("east", 0, List.of("guard1")));
        group.unreachable.add("guard1");
        var first = group.claim("entry1", "first");
        group.deliver();
        group.unreachable.clear();
        var second = group.claim("outdated", "second");
        group.advance(1_000);
        return countDispatches(group, first, "entry1", "first") + countDispatches(group, second, "outdated", "second");
    }

    @Test
    void refusesAClaimWhenTheOnlyGuardLeftMissedAnEarlierClaim() {
        assertEquals(1, countDispatchesWithAShrinkingRoster(ClaimRule.all()));
    }

    @Test
    void dispatchesAKeyTwiceWithoutTheSharedMajority() {
        assertEquals(2, countDispatchesWithAShrinkingRoster(ClaimRule.allBut(ClaimRule.SHARED_MAJORITY)));
    }

    /** The guard that misses the first claim becomes the only guard left of three. */
    private static int countDispatchesWithAShrinkingRoster(final Set<ClaimRule> rules) {
        ClaimFixture group = new ClaimFixture(rules);
        group.unreachable.add("guard3");
        var first = group.claim("entry1", "first");
        group.deliver();
        group.unreachable.clear();
        group.sendRoster(new Roster("east", 2, List.of("guard2", "guard3")));
        group.advance(1_000);
        Roster last = new Roster("east", 3, List.of("guard3"));
        group.sendRoster(last);
        group.startEntry("later", last);
        var second = group.claim("later", "second");
        group.deliver();
        return countDispatches(group, first, "entry1", "first") + countDispatches(group, second, "later", "second");
    }

    private static int countDispatches(
            final ClaimFixture group,
            final CompletableFuture<Optional<CallResult>> decision,
            final String entry,
            final String attempt) {
        return decision.getNow(null).isEmpty() && group.beginDispatch(entry, attempt) ? 1 : 0;
    }

    private void dispatch(final String entry, final String attempt) {
        assertEquals(Optional.empty(), claim(entry, attempt));
        assertTrue(fixture.beginDispatch(entry, attempt));
    }

    private Optional<CallResult> claim(final String entry, final String attempt) {
        var decision = fixture.claim(entry, attempt);
        fixture.deliver();
        return decision.getNow(null);
    }
}
