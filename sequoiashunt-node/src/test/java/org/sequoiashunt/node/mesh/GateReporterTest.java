package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.move.AnswerCounters;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.time.SteppedClock;

/** Log lines of a gate contain the caller's request identity, as those of the caller handler do. */
@Timeout(10)
class GateReporterTest {

    private static final TargetAnnouncement TARGET =
            new TargetAnnouncement("t-1", new NodeAddress("127.0.0.1", 1), "desk", "v1", 4, false, 1, 1, 0);

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final DecisionLog log =
            DecisionLog.start("n", SteppedClock.of(1_000), new PrintStream(output, true, StandardCharsets.UTF_8));
    private final GateReporter reporter = new GateReporter(
            "Request-Id",
            new AnswerCounters(),
            CrashGuards.unused(SteppedClock.of(1_000), log),
            log,
            new MeshMetrics());

    private static CallRequest request(final List<HeaderField> headers) {
        return new CallRequest(
                "c-1", "desk", "look", "v1", "t-1", "GET", "/", headers, Body.EMPTY, true, Optional.empty(), 9_000);
    }

    @Test
    void logLinesContainRequestId() throws InterruptedException {
        CallRequest request = request(List.of(new HeaderField("request-id", "id-7")));
        reporter.callRefused(TARGET, request, CallResult.notRun(Reason.QUEUE_FULL));
        reporter.callEnded(TARGET, request, CallResult.unknown(Reason.DEADLINE), 400);
        reporter.callRefused(TARGET, request(List.of()), CallResult.notRun(Reason.QUEUE_FULL));
        log.close();
        List<String> lines = output.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(3, lines.size(), lines::toString);
        assertTrue(lines.get(0).contains("\"event\":\"gate-refused\",\"request\":\"id-7\""), lines::toString);
        assertTrue(lines.get(1).contains("\"event\":\"attempt\",\"request\":\"id-7\""), lines::toString);
        assertTrue(lines.get(2).contains("\"request\":\"none\""), lines::toString);
    }
}
