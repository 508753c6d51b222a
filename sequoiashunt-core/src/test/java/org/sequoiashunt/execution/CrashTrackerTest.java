package org.sequoiashunt.execution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.gate.Admission;
import org.sequoiashunt.time.SteppedClock;

final class CrashTrackerTest {

    private static final CallResult CRASH = CallResult.unknown(Reason.CONNECTION_FAILED);
    private static final CallResult ANSWER =
            CallResult.complete(new CallResponse(200, List.of(), Body.of(new byte[] {1})));

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final Blackboard blackboard = new Blackboard();
    private final Blackboard otherBlackboard = new Blackboard();
    private final CrashTracker tracker = new CrashTracker("node1", blackboard, clock);
    private final CrashTracker otherTracker = new CrashTracker("node2", otherBlackboard, clock);

    @Test
    void runsASuspectAloneOnEveryNode() {
        tracker.recordEnd(request("/a"), CRASH, false);
        replicate();
        assertEquals(Admission.ALONE, otherTracker.admit(request("/a")));
        assertEquals(Admission.NORMAL, otherTracker.admit(request("/b")));
    }

    @Test
    void quarantinesARequestThatCrashesATargetWhileRunningAlone() {
        tracker.recordEnd(request("/a"), CRASH, false);
        replicate();
        otherTracker.recordEnd(request("/a"), CRASH, true);
        replicate();
        assertEquals(Admission.REFUSE, tracker.admit(request("/a")));
        assertEquals(Admission.REFUSE, otherTracker.admit(request("/a")));
    }

    @Test
    void doesNotQuarantineARequestThatNeverRanAlone() {
        for (int crash = 0; crash < 5; crash++) {
            tracker.recordEnd(request("/a"), CRASH, false);
        }
        assertEquals(Admission.ALONE, tracker.admit(request("/a")));
    }

    @Test
    void clearsASuspectThatCompletesAlone() {
        tracker.recordEnd(request("/a"), CRASH, false);
        tracker.recordEnd(request("/a"), ANSWER, true);
        assertEquals(Admission.NORMAL, tracker.admit(request("/a")));
    }

    @Test
    void keepsAQuarantineWhenAnotherNodeClearsTheSuspectConcurrently() {
        tracker.recordEnd(request("/a"), CRASH, false);
        replicate();
        otherTracker.recordEnd(request("/a"), CRASH, true);
        clock.advance(10);
        tracker.recordEnd(request("/a"), ANSWER, true);
        replicate();
        assertEquals(Admission.REFUSE, tracker.admit(request("/a")));
        assertEquals(Admission.REFUSE, otherTracker.admit(request("/a")));
    }

    @Test
    void admitsAndRemovesAQuarantinedRequestOnceItExpires() {
        tracker.recordEnd(request("/a"), CRASH, false);
        tracker.recordEnd(request("/a"), CRASH, true);
        clock.advance(CrashTracker.QUARANTINE_MS);
        assertEquals(Admission.NORMAL, tracker.admit(request("/a")));
        tracker.tick();
        assertTrue(blackboard.entries(Section.QUARANTINE).isEmpty());
    }

    @Test
    void allowsNoRetryAfterTheSecondCrashBeforeReplication() {
        CallRequest first = request("/a");
        tracker.recordEnd(first, CRASH, false);
        CallRequest retry =
                withHeaders(first, CrashTracker.retryHeaders(first, CRASH).orElseThrow());
        assertEquals(Admission.ALONE, otherTracker.admit(retry));
        otherTracker.recordEnd(retry, CRASH, true);
        assertEquals(Optional.empty(), CrashTracker.retryHeaders(retry, CRASH));
        assertEquals(Admission.REFUSE, otherTracker.admit(first));
    }

    @Test
    void keepsHeadersUnchangedOnRetryAfterOtherFailures() {
        CallRequest first = request("/a");
        assertEquals(
                Optional.of(first.headers()), CrashTracker.retryHeaders(first, CallResult.notRun(Reason.QUEUE_FULL)));
    }

    @Test
    void limitsTheSuspectsThatOneNodeAddsPerMinute() {
        for (int index = 0; index < 3 * CrashTracker.SUSPECTS_PER_MINUTE; index++) {
            tracker.recordEnd(request("/" + index), CRASH, false);
        }
        assertEquals(
                CrashTracker.SUSPECTS_PER_MINUTE,
                blackboard.entries(Section.QUARANTINE).size());
    }

    private void replicate() {
        blackboard.entries(Section.QUARANTINE).forEach(otherBlackboard::merge);
        otherBlackboard.entries(Section.QUARANTINE).forEach(blackboard::merge);
    }

    private static CallRequest request(final String uri) {
        return new CallRequest(
                "call", "desk", "lookup", "v1", "target", "GET", uri, List.of(), Body.EMPTY, true, Optional.empty(), 1);
    }

    private static CallRequest withHeaders(final CallRequest request, final List<HeaderField> headers) {
        return new CallRequest(
                "retry",
                request.service(),
                request.route(),
                request.targetVersion(),
                request.target(),
                request.method(),
                request.uri(),
                headers,
                request.body(),
                true,
                request.idempotencyKey(),
                request.deadlineMs());
    }
}
