package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.link.LinkThreads;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;

/** Answers of targets in trouble: cut, joined and doubled ones must never become the answer to a request. */
@Timeout(60)
class TargetAnswerIdentityTest {

    private static final MeshHeaders HEADER_NAMES = new MeshHeaders(
            "Request-Id", "Left-Ms", "Signature", "Expected", "Not-Run", "Caller", "Organisation", "Load", "Warm-Up");
    private static final String SUCCESS =
            "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello";
    private static final String FAILURE =
            "HTTP/1.1 500 Failed\r\nRequest-Id: $ID\r\nSignature: f\r\nContent-Length: 6\r\n\r\nfailed";
    private static final String REFUSAL =
            "HTTP/1.1 503 Busy\r\nRequest-Id: $ID\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n";

    private final Clock clock = SystemClock.start();
    private final LinkThreads threads = LinkThreads.startSingle();
    private final NettyTargetCaller caller =
            NettyTargetCaller.create(threads.callLoop(), HEADER_NAMES, clock, TargetConnectionObserver.NONE);
    private ScriptedTarget target;

    @AfterEach
    void close() throws IOException {
        caller.close();
        threads.close();
        target.close();
    }

    private CallResult call(final String id, final long remainingMs) throws Exception {
        return call(id, "GET", remainingMs);
    }

    private CallResult call(final String id, final String method, final long remainingMs) throws Exception {
        return caller.call(target.address(), request(id, method, Body.of(new byte[0]), remainingMs))
                .get(10, TimeUnit.SECONDS);
    }

    private CallRequest request(final String id, final String method, final Body body, final long remainingMs) {
        return new CallRequest(
                "call-" + id,
                "desk",
                "lookup",
                "v1",
                "i-1",
                method,
                "/plates/1",
                List.of(new HeaderField("Host", "desk.example"), new HeaderField("Request-Id", id)),
                body,
                true,
                Optional.empty(),
                clock.nowMs() + remainingMs);
    }

    private static String describe(final CallResult result) {
        return result.response()
                .map(answer -> answer.status() + " " + new String(answer.body().bytes(), StandardCharsets.ISO_8859_1))
                .orElse(result.outcome().toString());
    }

    private static int headLength(final String answer) {
        return answer.indexOf("\r\n\r\n") + 4;
    }

    /** Guards against a success for a request that failed: the target breaks off in a head and writes its answer. */
    @Test
    void headCutAnywhereAndFollowedByTheAnswerIsNoSuccess() throws Exception {
        List<String> violations = new ArrayList<>();
        for (int cut = 1; cut < headLength(SUCCESS); cut++) {
            target = new ScriptedTarget(SUCCESS.substring(0, cut) + FAILURE);
            CallResult result = call("b", 8_000);
            if (result.reason() != Reason.BAD_ANSWER) {
                violations.add("cut after " + cut + ": " + describe(result));
            }
            target.close();
        }
        assertEquals(List.of(), violations);
    }

    /** Guards against "not run" for a request that ran: the target breaks off in a refusal and writes its answer. */
    @Test
    void refusalCutAnywhereAndFollowedByTheAnswerIsNoPromise() throws Exception {
        List<String> violations = new ArrayList<>();
        for (int cut = 1; cut < headLength(REFUSAL); cut++) {
            target = new ScriptedTarget(REFUSAL.substring(0, cut) + FAILURE);
            CallResult result = call("b", 8_000);
            if (result.reason() != Reason.BAD_ANSWER) {
                violations.add("cut after " + cut + ": " + describe(result));
            }
            target.close();
        }
        assertEquals(List.of(), violations);
    }

    /** Guards against the same when the beginning arrives late, after the previous answer or before it is read. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n",
                "HTTP/1.1 200",
                "HTTP/1.1 200 OK\r\nX-Filler: 1"
            })
    void headCutBehindThePreviousAnswerIsNoPartOfTheNext(final String beginning) throws Exception {
        target = new ScriptedTarget(SUCCESS + beginning, FAILURE, FAILURE);
        assertEquals("200 hello", describe(call("a", 2_000)));
        CallResult next = call("b", 2_000);
        assertTrue(next.reason() == Reason.BAD_ANSWER || describe(next).equals("500 failed"), next.toString());
        target.close();
        target = new ScriptedTarget(SUCCESS, beginning + FAILURE);
        assertEquals("200 hello", describe(call("a", 2_000)));
        assertEquals(Outcome.UNKNOWN, call("b", 2_000).outcome());
    }

    /** Guards against an answer of an earlier run: its copy echoes the identity under which the request comes again. */
    @Test
    void identityIsNotCarriedTwiceByOneConnection() throws Exception {
        target = new ScriptedTarget(SUCCESS, SUCCESS.replace("$ID", "a") + FAILURE, FAILURE);
        assertEquals("200 hello", describe(call("a", 2_000)));
        CallResult again = call("a", 2_000);
        assertEquals(2, target.connectionCount(), "the repeated request takes another connection");
        assertTrue(again.outcome() == Outcome.COMPLETE, again.toString());
    }

    /** Guards against a success out of the first run when the second run of a request fails. */
    @Test
    void lateCopyOfFirstRunIsNotTheAnswerOfTheSecondRun() throws Exception {
        String copy = SUCCESS.replace("$ID", "a");
        target = new ScriptedTarget(SUCCESS, FAILURE);
        assertEquals("200 hello", describe(call("a", 2_000)));
        target.writeBeforeNextStep(copy);
        assertEquals("500 failed", describe(call("a", 2_000)));
    }

    /** Guards against "not run" for a run that goes on: a late copy of the refusal of the first run. */
    @Test
    void lateCopyOfFirstRefusalIsNoPromiseForTheSecondRun() throws Exception {
        target = new ScriptedTarget(REFUSAL, FAILURE);
        assertEquals(Outcome.NOT_RUN, call("a", 2_000).outcome());
        target.writeBeforeNextStep(REFUSAL.replace("$ID", "a"));
        assertEquals("500 failed", describe(call("a", 2_000)));
    }

    /** Guards against a failed request behind bytes that end without a line end and are therefore not reported. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSig", "\r\n", "\0"})
    void connectionWithUnreportedBytesIsNotReused(final String bytes) throws Exception {
        target = new ScriptedTarget(SUCCESS + bytes, SUCCESS, SUCCESS);
        assertEquals("200 hello", describe(call("a", 2_000)));
        Thread.sleep(50);
        assertEquals("200 hello", describe(call("b", 2_000)));
        assertEquals(2, target.connectionCount());
    }

    /** Guards against heads that are read by one field although they contradict themselves. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nRequest-Id: a\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nSignature: t\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 0\r\nContent-Length: 0\r\n"
                        + "\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 5\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\n folded\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\nRequest-Id: $ID\nSignature: s\nContent-Length: 0\n\n",
                "\r\nHTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nno field\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Busy\r\nRequest-Id: $ID\r\nNot-Run: full\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 204 No Content\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 101 Other\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + SUCCESS,
                "HTTP/1.1 100 Continue\r\n" + SUCCESS,
                "HTTP/1.0 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "5\r\nhello\r\n0\r\n" + FAILURE,
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "5\r\nhello\r\n" + FAILURE,
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n" + "5"
                        + FAILURE,
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "5\r\nhello\r\n0\r\nSignature: t\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "5\r\nhello\r\n0\r\nX-Date: MoHTTP/1.1 500 Failed\r\n\r\n"
            })
    void answerThatContradictsItselfIsInvalidAtOnce(final String answer) throws Exception {
        target = new ScriptedTarget(answer);
        long startMs = clock.nowMs();
        assertEquals(Reason.BAD_ANSWER, call("b", 5_000).reason());
        assertTrue(clock.nowMs() - startMs < 2_500, "the request does not wait for its deadline");
    }

    /** Guards against a wait for the deadline behind a late answer that lasts until its connection ends. */
    @Test
    void lateAnswerWithoutLengthEndsTheRequestAtOnce() throws Exception {
        String late = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSignature: s\r\n\r\nhello";
        target = new ScriptedTarget(SUCCESS, late + SUCCESS);
        call("a", 2_000);
        assertEquals(Reason.BAD_ANSWER, call("b", 8_000).reason());
    }

    /** Guards against bytes of a long body where a target that answered early expects the next request. */
    @Test
    void connectionOfAnEarlyAnswerIsNotReused() throws Exception {
        target = new ScriptedTarget();
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            CompletableFuture<CallResult> early = caller.call(
                    new NodeAddress("127.0.0.1", listener.getLocalPort()),
                    request("a", "POST", Body.of(new byte[20 << 20]), 5_000));
            try (Socket first = listener.accept()) {
                first.getOutputStream().write(SUCCESS.replace("$ID", "a").getBytes(StandardCharsets.ISO_8859_1));
                assertEquals("200 hello", describe(early.get(10, TimeUnit.SECONDS)));
                caller.call(
                        new NodeAddress("127.0.0.1", listener.getLocalPort()),
                        request("b", "GET", Body.of(new byte[0]), 5_000));
                listener.setSoTimeout(5_000);
                listener.accept().close();
            }
        }
    }

    /** An answer with an identity that the connection has never carried cannot be placed. */
    @Test
    void answerToUnknownRequestIsInvalidAtOnce() throws Exception {
        target = new ScriptedTarget(SUCCESS.replace("$ID", "other") + SUCCESS);
        assertEquals(Reason.BAD_ANSWER, call("b", 5_000).reason());
    }

    @Test
    void interimAnswersAndAnswersWithoutBodyAreRead() throws Exception {
        target = new ScriptedTarget(
                "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + SUCCESS,
                "HTTP/1.1 204 No Content\r\nRequest-Id: $ID\r\nSignature: s\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\n",
                SUCCESS);
        assertEquals("200 hello", describe(call("a", 2_000)));
        assertEquals("204 ", describe(call("b", 2_000)));
        assertEquals("304 ", describe(call("c", 2_000)));
        assertEquals("200 hello", describe(call("d", 2_000)));
    }

    @Test
    void trailersAreRead() throws Exception {
        target = new ScriptedTarget("HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Checksum: 1\r\n\r\n");
        assertEquals("200 hello", describe(call("a", 2_000)));
    }

    @Test
    void answerToHeadRequestHasNoBody() throws Exception {
        target = new ScriptedTarget(SUCCESS.substring(0, headLength(SUCCESS)), SUCCESS);
        assertEquals("200 ", describe(call("a", "HEAD", 2_000)));
        assertEquals("200 hello", describe(call("b", 2_000)));
        assertEquals(1, target.connectionCount());
    }

    @Test
    void connectionIsReplacedAfterItsLastRequest() throws Exception {
        int count = 1_001;
        target =
                new ScriptedTarget(java.util.Collections.nCopies(count, SUCCESS).toArray(String[]::new));
        for (int request = 0; request < count; request++) {
            assertEquals("200 hello", describe(call("r" + request, 2_000)));
        }
        assertEquals(2, target.connectionCount());
    }
}
