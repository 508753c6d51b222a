package org.sequoiashunt.execution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;

final class ClaimLedgerTest {

    private static final long RETENTION_MS = 1_000;
    private static final ClaimKey KEY = ClaimKey.of("ledger", "key");

    private final ClaimLedger ledger = new ClaimLedger(new ClaimCapacity(16, 2, 100), RETENTION_MS, ClaimRule.all());

    @Test
    void grantsAKeyToOneAttemptAndRepeatsItsGrant() {
        assertEquals(ClaimVerdict.GRANTED, claim(KEY, "first", 0));
        assertEquals(ClaimVerdict.HELD_RUNNING, claim(KEY, "second", 99));
        assertEquals(ClaimVerdict.HELD_UNKNOWN, claim(KEY, "second", 100));
        assertEquals(ClaimVerdict.GRANTED, claim(KEY, "first", RETENTION_MS - 1));
    }

    @Test
    void removesAClaimOnlyAfterTheRetentionWindow() {
        claim(KEY, "first", 0);
        ledger.expire(RETENTION_MS - 1);
        assertEquals(ClaimVerdict.HELD_UNKNOWN, claim(KEY, "second", RETENTION_MS - 1));
        ledger.expire(RETENTION_MS);
        assertEquals(0, ledger.size());
        assertEquals(ClaimVerdict.GRANTED, claim(KEY, "second", RETENTION_MS));
    }

    @Test
    void releasesAKeyOnlyForTheAttemptThatHoldsIt() {
        claim(KEY, "first", 0);
        ledger.release(KEY, "second");
        assertEquals(ClaimVerdict.HELD_RUNNING, claim(KEY, "third", 1));
        ledger.release(KEY, "first");
        assertEquals(ClaimVerdict.GRANTED, claim(KEY, "third", 1));
    }

    @Test
    void refusesAClaimThatArrivesAfterItsRelease() {
        ledger.release(KEY, "first");
        assertEquals(ClaimVerdict.ENDED, claim(KEY, "first", 0));
        assertEquals(ClaimVerdict.GRANTED, claim(KEY, "second", 0));
    }

    @Test
    void refusesNewClaimsAndKeepsAllOthersWhenFull() {
        int granted = 0;
        for (int index = 0; index < 200; index++) {
            granted += claim(ClaimKey.of("ledger", "key" + index), "attempt", 0) == ClaimVerdict.GRANTED ? 1 : 0;
        }
        assertEquals(16, granted);
        assertEquals(16, ledger.size());
    }

    @Test
    void keepsTheClaimWhenItsAnswerIsEvicted() {
        for (int index = 0; index < 3; index++) {
            ClaimKey key = new ClaimKey(index, index);
            claim(key, "attempt" + index, 0);
            ledger.record(key, "attempt" + index, answer(10));
        }
        assertEquals(ClaimVerdict.HELD_RUNNING, claim(new ClaimKey(0, 0), "resend", 1));
        assertEquals(
                new ClaimLedger.Decision(ClaimVerdict.HELD_DONE, Optional.of(answer(10))),
                ledger.claim(new ClaimKey(2, 2), "resend", 100, 1));
    }

    @Test
    void doesNotKeepAnAnswerLargerThanTheBound() {
        claim(KEY, "first", 0);
        ledger.record(KEY, "first", answer(101));
        assertEquals(ClaimVerdict.HELD_RUNNING, claim(KEY, "second", 1));
    }

    @Test
    void ignoresTheAnswerOfAnAttemptThatDoesNotHoldTheKey() {
        claim(KEY, "first", 0);
        ledger.record(KEY, "second", answer(1));
        assertEquals(ClaimVerdict.HELD_RUNNING, claim(KEY, "third", 1));
    }

    private ClaimVerdict claim(final ClaimKey key, final String attempt, final long nowMs) {
        return ledger.claim(key, attempt, 100, nowMs).verdict();
    }

    private static CallResult answer(final int bytes) {
        return CallResult.complete(new CallResponse(200, List.of(), Body.of(new byte[bytes])));
    }
}
