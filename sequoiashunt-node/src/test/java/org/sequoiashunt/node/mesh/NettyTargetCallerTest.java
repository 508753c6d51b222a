package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.link.LinkThreads;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.slot.StatedLoad;
import org.sequoiashunt.time.Clock;

@Timeout(20)
class NettyTargetCallerTest {

    private static final MeshHeaders HEADER_NAMES = new MeshHeaders(
            "Request-Id", "Left-Ms", "Signature", "Expected", "Not-Run", "Caller", "Organisation", "Load", "Warm-Up");
    private static final String COMPLETE_RESPONSE =
            "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello";

    private final Clock clock = SystemClock.start();
    private final LinkThreads threads = LinkThreads.startSingle();
    private final NettyTargetCaller caller =
            NettyTargetCaller.create(threads.callLoop(), HEADER_NAMES, clock, TargetConnectionObserver.NONE);
    private ScriptedTarget target;

    @AfterEach
    void close() throws IOException {
        caller.close();
        threads.close();
        if (target != null) {
            target.close();
        }
    }

    private CallResult call(final String id, final String method, final String body) throws Exception {
        return start(id, method, body, 3_000).get(10, TimeUnit.SECONDS);
    }

    private CompletableFuture<CallResult> start(
            final String id, final String method, final String body, final long remainingMs) {
        return caller.call(target.address(), request(id, method, body, remainingMs));
    }

    private CallRequest request(final String id, final String method, final String body, final long remainingMs) {
        return new CallRequest(
                "call-" + id,
                "desk",
                "lookup",
                "v1",
                "i-1",
                method,
                "/plates/1?x=%20y",
                List.of(
                        new HeaderField("Host", "desk.example"),
                        new HeaderField("Request-Id", id),
                        new HeaderField("Caller", "kiosk")),
                Body.of(body.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1)),
                true,
                Optional.empty(),
                clock.nowMs() + remainingMs);
    }

    private static String bodyOf(final CallResult result) {
        CallResponse answer = result.response().orElseThrow();
        return new String(answer.body().bytes(), java.nio.charset.StandardCharsets.ISO_8859_1);
    }

    @Test
    void requestsAreForwardedOnOneKeptConnection() throws Exception {
        target = new ScriptedTarget(COMPLETE_RESPONSE, COMPLETE_RESPONSE);
        assertEquals("hello", bodyOf(call("a", "POST", "plate")));
        assertEquals("hello", bodyOf(call("b", "GET", "")));
        assertEquals(1, target.connectionCount());
        String first = target.requests().get(0);
        assertTrue(first.startsWith("POST /plates/1?x=%20y HTTP/1.1\n"), first);
        assertTrue(first.contains("Expected: i-1\n") && first.contains("Caller: kiosk\n"), first);
        assertTrue(first.matches("(?s).*Left-Ms: [0-9]+\n.*") && first.endsWith("\nplate"), first);
    }

    @Test
    void lateAnswerToEarlierRequestIsSkipped() throws Exception {
        String late = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold";
        target = new ScriptedTarget(COMPLETE_RESPONSE, late + COMPLETE_RESPONSE);
        call("a", "GET", "");
        CallResult second = call("b", "POST", "x");
        assertEquals("hello", bodyOf(second));
        assertEquals(2, target.requests().size(), "the second request is sent once");
    }

    @Test
    void bytesAfterAnswerCloseConnection() throws Exception {
        target = new ScriptedTarget(COMPLETE_RESPONSE + COMPLETE_RESPONSE, COMPLETE_RESPONSE);
        assertEquals("hello", bodyOf(call("a", "GET", "")));
        Thread.sleep(100);
        assertEquals("hello", bodyOf(call("b", "GET", "")));
        assertEquals(2, target.connectionCount());
    }

    /** Guards against a stated load that is lost, that ends an exchange when malformed, or that callers see changed. */
    @Test
    void statedLoadIsReadAndPassesUnchanged() throws Exception {
        List<StatedLoad> loads = Collections.synchronizedList(new ArrayList<>());
        String answer = COMPLETE_RESPONSE.replace("Signature: s", "Signature: s\r\nLoad: %s");
        target = new ScriptedTarget(answer.formatted("3,0,8,120"), answer.formatted("3,zero"), COMPLETE_RESPONSE);
        try (NettyTargetCaller reading = NettyTargetCaller.create(
                threads.callLoop(),
                HEADER_NAMES,
                clock,
                TargetConnectionObserver.NONE,
                (address, load, sentMs) -> loads.add(load))) {
            for (String stated : List.of("3,0,8,120", "3,zero")) {
                CallResult result = reading.call(target.address(), request(stated, "GET", "", 3_000))
                        .get(10, TimeUnit.SECONDS);
                assertTrue(result.response().orElseThrow().headers().contains(new HeaderField("Load", stated)));
            }
        }
        assertEquals(List.of(new StatedLoad(3, 0, 8, 120)), loads);
    }

    @Test
    void truncatedAnswerHasUnknownOutcome() throws Exception {
        target = new ScriptedTarget(
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 50\r\n\r\nhelFIN",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "5\r\nhelloFIN");
        assertEquals(Outcome.UNKNOWN, call("a", "GET", "").outcome());
        assertEquals(Outcome.UNKNOWN, call("b", "GET", "").outcome());
    }

    @Test
    void answerWithoutLengthEndsWhenConnectionCloses() throws Exception {
        String unframed = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\n\r\nhello";
        target = new ScriptedTarget(unframed + "FIN", unframed + "RESET");
        assertEquals("hello", bodyOf(call("a", "GET", "")));
        assertEquals(Outcome.UNKNOWN, call("b", "GET", "").outcome(), "a reset does not complete an answer");
    }

    @Test
    void invalidAnswersHaveUnknownOutcome() throws Exception {
        target = new ScriptedTarget("what is this\r\n\r\nFIN", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals(Outcome.UNKNOWN, call("a", "GET", "").outcome());
        assertEquals(
                Outcome.UNKNOWN, call("b", "GET", "").outcome(), "an answer that does not echo the request identity");
    }

    @Test
    void successWithoutSignatureOrWithContentEncodingIsBadAnswer() throws Exception {
        target = new ScriptedTarget(
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n"
                        + "\r\n");
        assertEquals(Reason.BAD_ANSWER, call("a", "GET", "").reason());
        assertEquals(Reason.BAD_ANSWER, call("b", "GET", "").reason());
    }

    /** Guards against a number that is no status reaching a caller, with the signature of a target in trouble. */
    @ParameterizedTest
    @ValueSource(
            strings = {"000", "001", "099", "600", "999", "20", "2000", "0200", "+200", "-200", "2x0", "abc", "", "2 0"
            })
    void answerWhoseStatusIsNoneIsBadAnswer(final String status) throws Exception {
        target = new ScriptedTarget(
                "HTTP/1.1 " + status + " Odd\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello");
        CallResult result = call("a", "GET", "");
        assertEquals(Outcome.UNKNOWN, result.outcome());
        assertEquals(Reason.BAD_ANSWER, result.reason());
    }

    @Test
    void refusalByTargetHasOutcomeNotRun() throws Exception {
        target = new ScriptedTarget(
                "HTTP/1.1 503 Full\r\nRequest-Id: $ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 421 Other\r\nRequest-Id: $ID\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 500 Broken\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n");
        assertEquals(Outcome.NOT_RUN, call("a", "GET", "").outcome());
        assertEquals(Outcome.NOT_RUN, call("b", "GET", "").outcome());
        assertEquals(500, call("c", "GET", "").response().orElseThrow().status());
    }

    /** Guards against "not run" for a request that runs: the target writes an earlier refusal once more. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 429 Busy\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 400 No id\r\nNot-Run: no id\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
            })
    void refusalWithoutRequestIdIsNoPromise(final String refusal) throws Exception {
        target = new ScriptedTarget(COMPLETE_RESPONSE, refusal + COMPLETE_RESPONSE);
        call("a", "GET", "");
        CallResult second = call("b", "POST", "x");
        assertEquals(Outcome.UNKNOWN, second.outcome(), "the target runs the request");
        assertEquals(2, target.requests().size());
    }

    @Test
    void refusalOfAnotherRequestIsSkipped() throws Exception {
        String refusal = "HTTP/1.1 503 Busy\r\nRequest-Id: a\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n";
        target = new ScriptedTarget(refusal, refusal + COMPLETE_RESPONSE, refusal + refusal, COMPLETE_RESPONSE);
        assertEquals(Outcome.NOT_RUN, call("a", "POST", "x").outcome());
        assertEquals("hello", bodyOf(call("b", "POST", "x")));
        assertEquals(
                Outcome.UNKNOWN,
                start("c", "POST", "x", 300).get(10, TimeUnit.SECONDS).outcome());
    }

    /** Guards against an empty or short answer framed as whole, when a target stops in the middle of its answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {"Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"})
    void answerCutAnywhereIsNotComplete(final String framing) throws Exception {
        String head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSignature: s\r\n";
        for (String interim : List.of("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")) {
            String whole = interim + head + framing;
            List<String> steps = new ArrayList<>();
            for (int length = 0; length < whole.length(); length++) {
                steps.add(whole.substring(0, length) + (length % 9 == 0 ? "RESET" : "FIN"));
            }
            steps.add(whole + "FIN");
            target = new ScriptedTarget(steps.toArray(String[]::new));
            for (int length = 0; length < whole.length(); length++) {
                assertEquals(Outcome.UNKNOWN, call("a", "GET", "").outcome(), "cut after " + length + " bytes");
            }
            assertEquals("hello", bodyOf(call("a", "GET", "")));
            target.close();
        }
    }

    /** An answer without a length ends with its connection, but only after a complete head and not by a reset. */
    @Test
    void answerWithoutLengthCutInItsHeadIsNotComplete() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSignature: s\r\n\r\n";
        List<String> steps = new ArrayList<>();
        for (int length = 0; length < head.length(); length++) {
            steps.add(head.substring(0, length) + "FIN");
        }
        steps.add(head + "helloRESET");
        target = new ScriptedTarget(steps.toArray(String[]::new));
        for (int length = 0; length <= head.length(); length++) {
            assertEquals(Outcome.UNKNOWN, call("a", "GET", "").outcome(), "cut after " + length + " bytes");
        }
    }

    @Test
    void callToSilentTargetEndsAtDeadline() throws Exception {
        target = new ScriptedTarget(COMPLETE_RESPONSE, "SILENT");
        // The connection exists before the call: a call that has none before its deadline has not run.
        assertEquals("hello", bodyOf(start("a", "GET", "", 10_000).get(10, TimeUnit.SECONDS)));
        CallResult result = start("b", "GET", "", 1_000).get(3, TimeUnit.SECONDS);
        assertEquals(Outcome.UNKNOWN, result.outcome());
        assertEquals(Reason.DEADLINE, result.reason());
    }

    /** Guards against calls that wait for their deadline at a target that does not answer. */
    @Test
    void silentCallIsGivenUpAndItsConnectionIsClosed() throws Exception {
        target = new ScriptedTarget(COMPLETE_RESPONSE, "SILENT", COMPLETE_RESPONSE);
        call("a", "GET", "");
        CallResult result = caller.call(target.address(), request("b", "GET", "", 8_000), 100)
                .get(4, TimeUnit.SECONDS);
        assertEquals(CallResult.unknown(Reason.UNRESPONSIVE), result);
        assertEquals("hello", bodyOf(call("c", "GET", "")));
        assertEquals(2, target.connectionCount(), "the silent connection is not used again");
    }

    /** Guards against downloads that are given up while they arrive. */
    @Test
    void callWhoseAnswerHasBegunIsNotGivenUp() throws Exception {
        target = new ScriptedTarget(
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 50\r\n\r\nhelSILENT");
        CallResult result = caller.call(target.address(), request("a", "GET", "", 1_500), 700)
                .get(8, TimeUnit.SECONDS);
        assertEquals(CallResult.unknown(Reason.DEADLINE), result);
    }

    /** A target in trouble may send bytes until its caller closes the connection, in a head or in a body. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nENDLESSX-Filler: abcdefghijklmnopqrstuvwxyz\r\n",
                "HTTP/1.1 200 OK\r\nX-Filler: ENDLESSabcdefghijklmnopqrstuvwxyz",
                "ENDLESSabcdefghijklmnopqrstuvwxyz",
                "ENDLESS\r\n",
                "ENDLESSHTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\n\r\nENDLESSabcdefghijklmnopqrstuvwxyz",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "ENDLESS5\r\nhello\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "0\r\nENDLESSX-Trailer: abcdefghijklmnopqrstuvwxyz\r\n",
                "ENDLESSHTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold",
                "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: s\r\n\r\nENDLESSabcdefghijklmnopqrstuvwxyz",
                COMPLETE_RESPONSE + "ENDLESSabcdefghijklmnopqrstuvwxyz"
            })
    void endlessAnswerEndsWithItsConnectionAndDoesNoHarmToOthers(final String step) throws Exception {
        target = new ScriptedTarget(step, COMPLETE_RESPONSE);
        CallResult endless = start("a", "GET", "", 900).get(3, TimeUnit.SECONDS);
        boolean complete = step.startsWith(COMPLETE_RESPONSE);
        assertEquals(complete ? Outcome.COMPLETE : Outcome.UNKNOWN, endless.outcome());
        assertEquals("hello", bodyOf(call("b", "GET", "")));
        long deadlineMs = clock.nowMs() + 3_000;
        while (target.endlessStreams() > 0 && clock.nowMs() < deadlineMs) {
            Thread.sleep(5);
        }
        assertEquals(0, target.endlessStreams(), "the connection is closed");
        assertEquals(2, target.connectionCount());
    }

    /** Six answers of the largest allowed size would fill more than half of a node's heap. */
    @Test
    void endlessAnswersTogetherUseBoundedMemory() throws Exception {
        int count = 6;
        String step = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\n\r\nENDLESS" + "x".repeat(1_000);
        target = new ScriptedTarget(Collections.nCopies(count, step).toArray(String[]::new));
        List<CompletableFuture<CallResult>> calls = new ArrayList<>();
        for (int call = 0; call < count; call++) {
            calls.add(start("c" + call, "GET", "", 20_000));
        }
        long peakBytes = 0;
        while (!calls.stream().allMatch(CompletableFuture::isDone)) {
            peakBytes = Math.max(peakBytes, caller.answerMemoryBytes());
            Thread.sleep(1);
        }
        for (CompletableFuture<CallResult> call : calls) {
            assertEquals(Reason.BAD_ANSWER, call.get().reason());
        }
        assertTrue(peakBytes <= 24 << 20, "bytes of answers held at a time: " + peakBytes);
        long deadlineMs = clock.nowMs() + 3_000;
        while (caller.answerMemoryBytes() > 0 && clock.nowMs() < deadlineMs) {
            Thread.sleep(5);
        }
        assertEquals(0, caller.answerMemoryBytes(), "all memory is released");
    }

    /** Guards against answers that fail because slow ones without end hold the memory of all until their deadline. */
    @Test
    void ordinaryAnswerGetsThroughWhileLargeOnesHoldTheMemory() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: ";
        String held = head + (16 << 20) + "\r\n\r\n" + "x".repeat((12 << 20) - 1_000) + "SILENT";
        target = new ScriptedTarget(held, held, head + "100000\r\n\r\n" + "y".repeat(100_000));
        CompletableFuture<CallResult> first = start("a", "GET", "", 15_000);
        CompletableFuture<CallResult> second = start("b", "GET", "", 15_000);
        long deadlineMs = clock.nowMs() + 8_000;
        while (caller.answerMemoryBytes() < (24 << 20) - 2_000 && clock.nowMs() < deadlineMs) {
            Thread.sleep(5);
        }
        assertEquals(100_000, bodyOf(call("c", "GET", "")).length());
        assertTrue(first.isDone() != second.isDone(), "one of the large answers is given up");
    }

    @Test
    void callToStoppedTargetHasOutcomeNotRun() throws Exception {
        target = new ScriptedTarget();
        NodeAddress address = target.address();
        target.close();
        CallResult result = caller.call(address, request("a", "GET", "", 1_000)).get(5, TimeUnit.SECONDS);
        assertEquals(Outcome.NOT_RUN, result.outcome());
    }

    @Test
    void cancellationClosesConnection() throws Exception {
        target = new ScriptedTarget("SILENT", COMPLETE_RESPONSE);
        CompletableFuture<CallResult> running = start("a", "GET", "", 3_000);
        while (target.requests().isEmpty()) {
            Thread.sleep(5);
        }
        running.cancel(true);
        assertEquals("hello", bodyOf(call("b", "GET", "")));
        assertEquals(2, target.connectionCount());
    }

    @Test
    void connectionIsNotReusedNearEndOfStatedIdleTime() throws Exception {
        target = new ScriptedTarget(
                COMPLETE_RESPONSE.replace("Content-Length", "Keep-Alive: timeout=1\r\nContent-Length"),
                COMPLETE_RESPONSE);
        call("a", "GET", "");
        Thread.sleep(300);
        call("b", "GET", "");
        assertEquals(2, target.connectionCount(), "a connection is not reused in the last part of its idle time");
    }
}
