package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResult;

/** Admission, queries, cancellation and retention of results in the call ledger. */
class CallLedgerTest {

    private static final long DEADLINE_MS = 2_000;
    private static final CallResult RESULT = LinkFixture.answer(Body.of(new byte[1_000]));

    private final CallLedger ledger = new CallLedger(4_000, 10, 1_000);
    private final List<String> delivered = new ArrayList<>();

    @Test
    void admitsEachCallOnce() {
        assertEquals(CallAdmission.RUN, admit("a"));
        assertEquals(CallAdmission.DUPLICATE, admit("a"));
        ledger.end("a", RESULT);
        assertEquals(CallAdmission.DUPLICATE, admit("a"));
    }

    @Test
    void aQueryRevokesAnUnreceivedCallUntilItsDeadline() {
        assertEquals(CallStatus.State.NOT_RECEIVED, query("a").state());
        ledger.expire(DEADLINE_MS);
        assertEquals(CallAdmission.REVOKED, admit("a"));
        assertEquals(CallStatus.State.NOT_RECEIVED, query("a").state());
        ledger.expire(DEADLINE_MS + 1);
        assertEquals(0, ledger.size());
    }

    @Test
    void theResultOfARunningCallGoesToTheLatestQuery() {
        admit("a");
        CallStatus callStatus = ledger.queryOrRevoke("a", 8, DEADLINE_MS, receiver("second"));
        assertEquals(CallStatus.State.RUNNING, callStatus.state());
        ledger.end("a", RESULT).orElseThrow().deliver();
        assertEquals(List.of("second/8/a"), delivered);
    }

    @Test
    void aResultIsRetainedUntilAcknowledged() {
        admit("a");
        ledger.end("a", RESULT);
        assertEquals(Optional.of(RESULT), query("a").result());
        assertEquals(1, ledger.outstandingCalls());
        ledger.acknowledge(List.of("a"));
        assertEquals(0, ledger.outstandingCalls());
        assertEquals(0, ledger.retainedBytes());
    }

    @Test
    void retainedBytesAreBoundedAndADiscardedResultIsReportedAsLost() {
        for (String callId : List.of("a", "b", "c", "d")) {
            admit(callId);
            ledger.end(callId, RESULT);
        }
        assertTrue(ledger.retainedBytes() <= 4_000);
        assertEquals(CallStatus.State.LOST, query("a").state());
        assertEquals(CallStatus.State.DONE, query("d").state());
        assertEquals(CallAdmission.DUPLICATE, admit("a"));
    }

    @Test
    void aFullLedgerNeitherAdmitsNorRevokesCalls() {
        for (int index = 0; index < 10; index++) {
            admit("call-" + index);
        }
        assertEquals(CallAdmission.FULL, admit("late"));
        assertEquals(CallStatus.State.LOST, query("late").state());
    }

    @Test
    void aRunningCallIsRetainedAfterItsDeadline() {
        admit("a");
        ledger.expire(DEADLINE_MS * 10);
        assertEquals(CallStatus.State.RUNNING, query("a").state());
    }

    @Test
    void cancellingReachesAnExecutionThatStartsLater() {
        admit("a");
        assertTrue(ledger.cancel("a", DEADLINE_MS).isEmpty());
        assertTrue(ledger.setExecution("a", new CompletableFuture<>()));
        admit("b");
        CompletableFuture<CallResult> execution = new CompletableFuture<>();
        assertFalse(ledger.setExecution("b", execution));
        assertEquals(Optional.of(execution), ledger.cancel("b", DEADLINE_MS));
        ledger.cancel("c", DEADLINE_MS);
        assertEquals(CallAdmission.REVOKED, admit("c"));
    }

    private CallAdmission admit(final String callId) {
        return ledger.admit(callId, 7, DEADLINE_MS, receiver("first"), 0);
    }

    private CallStatus query(final String callId) {
        return ledger.queryOrRevoke(callId, 7, DEADLINE_MS, receiver("first"));
    }

    private ResultReceiver receiver(final String name) {
        return (number, callId, result) -> delivered.add(name + "/" + number + "/" + callId);
    }
}
