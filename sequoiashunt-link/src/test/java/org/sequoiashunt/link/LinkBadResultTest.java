package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.link.wire.FrameProto;
import org.sequoiashunt.peer.NodeAddress;

/** Results without end close the connection on the side that opened it and do not affect calls on other links. */
class LinkBadResultTest {

    private static final int FRAME_TIMEOUT_MS = 300;
    private static final LinkLimits LIMITS = new LinkLimits(
            250,
            750,
            750,
            1_000,
            3_000,
            30_000,
            1_500,
            FRAME_TIMEOUT_MS,
            100_000,
            10,
            150_000,
            400_000,
            400_000,
            4_000_000,
            100);

    private final Closer closer = new Closer();
    private LinkFixture fixture;

    @BeforeEach
    void open() throws Exception {
        fixture = closer.register(new LinkFixture(LIMITS));
        fixture.warmUp();
    }

    @AfterEach
    void close() throws Exception {
        closer.close();
    }

    @Test
    void aResultThatArrivesTooSlowlyIsFetchedOnAnotherConnection() throws Exception {
        ServerSocket listener = listen();
        CallResult answer = LinkFixture.answer(Body.of(new byte[10]));
        CompletableFuture<CallResult> call = fixture.client.call(address(listener), LinkFixture.request("call", 5_000));
        RawPeer slow = accept(listener);
        slow.writeBytes((byte) 0, (byte) 1, (byte) 0, (byte) 0);
        for (int count = 0; count < 20 && slow.tryWriteBytes((byte) 1); count++) {
            TimeUnit.MILLISECONDS.sleep(FRAME_TIMEOUT_MS / 3);
        }
        assertEquals(1, fixture.clientCounters.read(Refusal.INCOMPLETE));
        RawPeer next = accept(listener);
        next.write(FrameFactory.of(CallCodec.encode(next.read().getCallQuery().getNumber(), "call", answer)));
        assertEquals(answer, LinkFixture.await(call));
    }

    /** Guards against a number that is no status reaching a caller as the answer to its request. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 99, 199, 600, 999, 1_000})
    void resultWhoseStatusIsNoneIsNoAnswer(final int status) throws Exception {
        ServerSocket listener = listen();
        CallResult answer = LinkFixture.answer(Body.of(new byte[10]));
        CompletableFuture<CallResult> call = fixture.client.call(address(listener), LinkFixture.request("call", 5_000));
        RawPeer faulty = accept(listener);
        long number = faulty.read().getCallStart().getNumber();
        FrameProto.CallEnd end = CallCodec.encode(number, "call", answer);
        faulty.write(FrameFactory.of(end.toBuilder().setStatus(status).build()));
        RawPeer next = accept(listener);
        next.write(FrameFactory.of(CallCodec.encode(next.read().getCallQuery().getNumber(), "call", answer)));
        assertEquals(answer, LinkFixture.await(call));
    }

    @Test
    void halfResultsOfManyPeersAreBoundedAndAnOrdinaryCallIsAnswered() throws Exception {
        for (int count = 0; count < 3; count++) {
            ServerSocket listener = listen();
            fixture.client.call(address(listener), LinkFixture.request("call-" + count, 20_000));
            RawPeer peer = accept(listener);
            peer.writeBytes((byte) 0, (byte) 1, (byte) 0x80, (byte) 0);
            peer.writeBytes(new byte[70_000]);
        }
        LinkFixture.await(() -> fixture.clientCounters.read(Refusal.TOO_MUCH_PENDING) > 0);
        CallResult answer = LinkFixture.answer(Body.of(new byte[50_000]));
        CompletableFuture<CallResult> call =
                fixture.client.call(fixture.address(), LinkFixture.request("ordinary", 5_000));
        LinkFixture.await(() -> !fixture.handler.runs.isEmpty());
        fixture.handler.runs.element().complete(answer);
        assertEquals(answer, LinkFixture.await(call));
    }

    private ServerSocket listen() throws Exception {
        ServerSocket listener = closer.register(new ServerSocket(0, 5, InetAddress.getLoopbackAddress()));
        listener.setSoTimeout((int) LinkFixture.WAIT_MS);
        return listener;
    }

    /** Accepts a connection and reads its hello frame. */
    private RawPeer accept(final ServerSocket listener) throws Exception {
        RawPeer peer = closer.register(new RawPeer(listener.accept()));
        peer.answerHello();
        return peer;
    }

    private static NodeAddress address(final ServerSocket listener) {
        return new NodeAddress("127.0.0.1", listener.getLocalPort());
    }
}
