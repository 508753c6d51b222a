package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;

/** Sending, resuming and ending of calls on the sending side. */
class InFlightCallsTest {

    private static final LinkIdentity GATE = new LinkIdentity("gate", 1);
    private static final LinkIdentity RESTARTED = new LinkIdentity("gate", 2);
    private static final LinkLimits LIMITS = LinkLimits.standard();

    private final long startMs = LinkFixture.CLOCK.nowMs();
    private final InFlightCalls calls = new InFlightCalls(LIMITS);

    @Test
    void aCallIsSentOnce() {
        InFlightCall call = add("a");
        assertEquals(Optional.of(call), calls.nextWaiting());
        assertTrue(calls.markSent(call, GATE));
        assertFalse(calls.markSent(call, GATE));
        assertEquals(Optional.empty(), calls.nextWaiting());
    }

    @Test
    void aSentCallIsQueriedOnlyAtTheSameProcess() {
        InFlightCall kept = addSent("a");
        calls.markSentCallsLost(startMs);
        assertEquals(List.of(kept), calls.connectionOpened(GATE));
        assertFalse(kept.future().isDone());
        calls.markSentCallsLost(startMs);
        assertEquals(List.of(), calls.connectionOpened(RESTARTED));
        assertEquals(CallResult.unknown(Reason.CONNECTION_FAILED), kept.future().join());
    }

    @Test
    void aWaitingCallSurvivesTheLossOfAConnection() {
        InFlightCall waiting = add("a");
        calls.markSentCallsLost(startMs);
        assertEquals(List.of(), calls.connectionOpened(RESTARTED));
        assertEquals(Optional.of(waiting), calls.nextWaiting());
    }

    @Test
    void onlyAnUnsentCallEndsAsNotRun() {
        InFlightCall waiting = add("a");
        InFlightCall sent = addSent("b");
        assertEquals(List.of(), calls.expire(startMs + LIMITS.unsentTimeoutMs()));
        assertEquals(
                CallResult.notRun(Reason.CONNECTION_FAILED), waiting.future().join());
        assertEquals(List.of(sent), calls.expire(sent.request().deadlineMs()));
        assertEquals(CallResult.unknown(Reason.DEADLINE), sent.future().join());
    }

    @Test
    void aLostCallEndsAsUnknownAtTheResumeTimeoutUnlessResumed() throws LinkProtocolException {
        InFlightCall lost = addSent("a");
        InFlightCall found = addSent("b");
        calls.markSentCallsLost(startMs);
        assertTrue(calls.markResumed(found.number(), "b"));
        calls.expire(startMs + LIMITS.resumeTimeoutMs());
        assertEquals(CallResult.unknown(Reason.CONNECTION_FAILED), lost.future().join());
        assertFalse(found.future().isDone());
    }

    @Test
    void anAnswerWithAnotherCallsNumberIsRejected() {
        InFlightCall first = addSent("a");
        InFlightCall second = addSent("b");
        CallResult answer = LinkFixture.answer(Body.EMPTY);
        assertThrows(LinkProtocolException.class, () -> calls.end(first.number(), "b", answer));
        assertFalse(first.future().isDone() || second.future().isDone());
    }

    @Test
    void aResultThatArrivesBeforeItsCallWasSentIsRejected() {
        InFlightCall waiting = add("a");
        CallResult answer = LinkFixture.answer(Body.EMPTY);
        assertThrows(LinkProtocolException.class, () -> calls.end(waiting.number(), "a", answer));
        assertFalse(waiting.future().isDone());
        assertEquals(Optional.of(waiting), calls.nextWaiting());
    }

    @Test
    void aDoubledResultEndsNoOtherCall() throws LinkProtocolException {
        InFlightCall first = addSent("a");
        CallResult answer = LinkFixture.answer(Body.EMPTY);
        assertTrue(calls.end(first.number(), "a", answer));
        InFlightCall second = addSent("a");
        assertFalse(calls.end(first.number(), "a", LinkFixture.answer(Body.of(new byte[1]))));
        assertFalse(second.future().isDone());
        assertEquals(answer, first.future().join());
    }

    @Test
    void aRetiredLinkTakesNoCall() {
        InFlightCall call = add("a");
        assertFalse(calls.retireIfEmpty());
        assertFalse(calls.remove(call));
        assertTrue(calls.retireIfEmpty());
        assertTrue(calls.add(LinkFixture.request("b", 100), new CompletableFuture<>(), startMs)
                .isEmpty());
    }

    private InFlightCall add(final String callId) {
        return calls.add(LinkFixture.request(callId, 60_000), new CompletableFuture<>(), startMs)
                .orElseThrow();
    }

    private InFlightCall addSent(final String callId) {
        InFlightCall call = add(callId);
        calls.markSent(call, GATE);
        return call;
    }
}
