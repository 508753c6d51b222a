package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.link.LinkThreads;
import org.sequoiashunt.time.Clock;

@Timeout(20)
class TargetConnectionReporterTest {

    private static final MeshHeaders HEADER_NAMES = new MeshHeaders(
            "Request-Id", "Left-Ms", "Signature", "Expected", "Not-Run", "Caller", "Organisation", "Load", "Warm-Up");

    private final Clock clock = SystemClock.start();
    private final MeshMetrics metrics = new MeshMetrics();

    /** Calls a target once for each step and returns the log and the metrics. */
    private String run(final String... steps) throws Exception {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        LinkThreads threads = LinkThreads.startSingle();
        try (DecisionLog log = DecisionLog.start("node-1", clock, new PrintStream(written, true));
                NettyTargetCaller caller = NettyTargetCaller.create(
                        threads.callLoop(), HEADER_NAMES, clock, new TargetConnectionReporter(log, metrics));
                ScriptedTarget target = new ScriptedTarget(steps)) {
            for (int step = 0; step < steps.length; step++) {
                String id = Character.toString('a' + step);
                CallRequest request = new CallRequest(
                        "call-" + id,
                        "desk",
                        "lookup",
                        "v1",
                        "i-1",
                        "GET",
                        "/plates/1",
                        List.of(new HeaderField("Request-Id", id)),
                        Body.of(new byte[0]),
                        true,
                        Optional.empty(),
                        clock.nowMs() + 3_000);
                caller.call(target.address(), request).get(10, TimeUnit.SECONDS);
            }
            Thread.sleep(100);
        } finally {
            threads.close();
        }
        return written.toString(StandardCharsets.UTF_8) + metrics.text();
    }

    private static String success(final String id) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello";
    }

    @Test
    void goodAnswersWriteNoLine() throws Exception {
        assertEquals("", run(success("a"), success("b")).replaceAll("(?m)^sequoiashunt_.*\n", ""));
    }

    @Test
    void goodAnswerThatEndsWithItsConnectionWritesNoLine() throws Exception {
        String text = run("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSignature: s\r\n\r\nhelloFIN");
        assertEquals("sequoiashunt_target_connections_closed{cause=\"not-persistent\"} 1\n", text);
    }

    @Test
    void skippedAnswerIsNamedWithItsConnectionAndBothIdentities() throws Exception {
        String text = run(success("a"), success("a") + success("b"));
        assertTrue(
                text.contains("\"event\":\"answer-skipped\",\"connection\":1,\"address\":\"127.0.0.1:")
                        && text.contains("\"request\":\"b\",\"answerStatus\":200,\"answerRequest\":\"a\",\"bytes\":5,"
                                + "\"requests\":2,\"latest\":\"call-a a, call-b b\"}"),
                text);
        assertTrue(text.contains("sequoiashunt_target_answers_skipped 1\n"), text);
    }

    @Test
    void secondAnswerIsNamedWithItsStatusAndIdentity() throws Exception {
        String text = run(success("a") + success("a"));
        assertTrue(text.contains("\"cause\":\"unexpected-bytes\""), text);
        assertTrue(text.contains("\"request\":\"\",\"answerStatus\":200,\"answerRequest\":\"a\""), text);
        assertTrue(text.contains("sequoiashunt_target_connections_closed{cause=\"unexpected-bytes\"} 1\n"), text);
    }

    @Test
    void invalidAnswerIsNamedWithItsStatusBesideTheRequestThatWaits() throws Exception {
        String text = run("HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: 0\r\n\r\n");
        assertTrue(
                text.contains("\"cause\":\"invalid-answer\",\"detail\":\"no signature")
                        && text.contains("\"request\":\"a\",\"answerStatus\":200,\"answerRequest\":\"a\""),
                text);
    }

    @Test
    void lostConnectionIsCounted() throws Exception {
        String text = run("FIN");
        assertTrue(text.contains("\"cause\":\"lost\""), text);
        assertTrue(text.contains("sequoiashunt_target_connections_closed{cause=\"lost\"} 1\n"), text);
    }
}
