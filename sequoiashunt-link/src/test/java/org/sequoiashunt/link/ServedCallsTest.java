package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.link.wire.FrameProto.CallQuery;
import org.sequoiashunt.link.wire.FrameProto.CallStart;
import org.sequoiashunt.link.wire.FrameProto.CallState;
import org.sequoiashunt.link.wire.FrameProto.Freshness;
import org.sequoiashunt.time.SteppedClock;

/** Received calls that are late, duplicated, revoked or truncated are not run. */
class ServedCallsTest {

    private static final long TIMEOUT_MS = 10_000;

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final LinkFixture.ManualHandler handler = new LinkFixture.ManualHandler();
    private final ServedCalls servedCalls = new ServedCalls(handler, LinkLimits.standard(), clock, new LinkCounters());
    private final List<CallResult> results = new ArrayList<>();

    @Test
    void theDeadlineIsNeverLaterThanTheSenders() throws LinkProtocolException {
        CallStart start = start(clock.nowMs(), 5);
        clock.advance(35);
        servedCalls.start(start, this::receive);
        assertEquals(1_000_005 + TIMEOUT_MS, handler.requests.remove().deadlineMs());
    }

    @Test
    void aCallOlderThanTheLimitIsNotRun() throws LinkProtocolException {
        CallStart start = start(clock.nowMs(), 0);
        clock.advance(LinkLimits.standard().maximumFrameAgeMs() + 1);
        servedCalls.start(start, this::receive);
        assertEquals(List.of(CallResult.notRun(Reason.DEADLINE)), results);
        assertEquals(0, handler.runs.size());
    }

    @Test
    void theStampAgeIsNotPartOfTheFrameAge() throws LinkProtocolException {
        CallStart start = start(clock.nowMs(), 20_000);
        clock.advance(20_001);
        servedCalls.start(start, this::receive);
        assertEquals(1, handler.runs.size());
    }

    @Test
    void aCallPastItsDeadlineIsNotRun() throws LinkProtocolException {
        CallStart start = start(clock.nowMs(), 0).toBuilder()
                .setFreshness(Freshness.newBuilder().setStamp(clock.nowMs()).setRemainingMs(10))
                .build();
        clock.advance(10);
        servedCalls.start(start, this::receive);
        assertEquals(List.of(CallResult.notRun(Reason.DEADLINE)), results);
        assertEquals(0, handler.runs.size());
    }

    @Test
    void aCallReportedAsNotReceivedIsNotRunWhenItArrivesLater() throws LinkProtocolException {
        CallStart start = start(clock.nowMs(), 0);
        clock.advance(1_000);
        CallQuery query = CallQuery.newBuilder()
                .setNumber(1)
                .setCallId("call")
                .setRemainingMs(TIMEOUT_MS - 1_000)
                .build();
        assertEquals(
                CallState.State.NOT_RECEIVED,
                servedCalls.query(query, this::receive).orElseThrow().getState());
        servedCalls.expire();
        servedCalls.start(start, this::receive);
        assertEquals(0, handler.runs.size());
        assertEquals(List.of(CallResult.notRun(Reason.CANCELLED)), results);
    }

    @Test
    void aCallThatArrivesTwiceIsRunOnce() throws LinkProtocolException {
        servedCalls.start(start(clock.nowMs(), 0), this::receive);
        servedCalls.start(start(clock.nowMs(), 0), this::receive);
        assertEquals(1, handler.runs.size());
        handler.runs.remove().complete(CallResult.notRun(Reason.SHED));
        assertEquals(List.of(CallResult.notRun(Reason.SHED)), results);
    }

    @Test
    void aTruncatedBodyIsNotRun() {
        CallStart truncated =
                start(clock.nowMs(), 0).toBuilder().setBodyLength(1).build();
        assertThrows(LinkProtocolException.class, () -> servedCalls.start(truncated, this::receive));
        assertEquals(0, handler.runs.size());
    }

    /** Guards against a call that its stopping node reported as not run and that runs nevertheless. */
    @Test
    void aWithdrawnCallThatHasNotArrivedIsNotRun() throws LinkProtocolException {
        CallQuery withdrawal = CallQuery.newBuilder()
                .setNumber(1)
                .setCallId("call")
                .setRemainingMs(TIMEOUT_MS)
                .setWithdraw(true)
                .build();
        assertEquals(
                CallState.State.NOT_RECEIVED,
                servedCalls.query(withdrawal, this::receive).orElseThrow().getState());
        servedCalls.start(start(clock.nowMs(), 0), this::receive);
        assertEquals(0, handler.runs.size());
        assertEquals(List.of("call"), List.copyOf(handler.withdrawals));
    }

    /** Guards against work that begins for a node that was killed. */
    @Test
    void callsOfAClosedConnectionAreWithdrawnUnlessResumed() throws LinkProtocolException {
        ResultReceiver closed = this::receive;
        ResultReceiver next = this::receive;
        servedCalls.start(start(clock.nowMs(), 0), closed);
        servedCalls.withdrawAbandoned(next);
        assertEquals(0, handler.withdrawals.size());
        servedCalls.withdrawAbandoned(closed);
        assertEquals(List.of("call"), List.copyOf(handler.withdrawals));
        servedCalls.query(CallQuery.newBuilder().setCallId("call").build(), next);
        servedCalls.withdrawAbandoned(closed);
        assertEquals(1, handler.withdrawals.size(), "the call was resumed on the next connection");
    }

    private void receive(final long number, final String callId, final CallResult result) {
        results.add(result);
    }

    private static CallStart start(final long stampMs, final long stampAgeMs) {
        Freshness freshness = Freshness.newBuilder()
                .setStamp(stampMs)
                .setStampAgeMs(stampAgeMs)
                .setRemainingMs(TIMEOUT_MS)
                .build();
        return CallCodec.encode(1, LinkFixture.request("call", TIMEOUT_MS), freshness);
    }
}
