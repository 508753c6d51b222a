package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.link.wire.FrameProto.Control;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.link.wire.FrameProto.Hello;

/** Invalid input of a faulty or malicious peer closes its connection and does not affect a call on another link. */
class LinkBadInputTest {

    private static final LinkLimits LIMITS = new LinkLimits(
            250, 750, 300, 1_000, 3_000, 30_000, 1_500, 300, 100_000, 3, 90_000, 400_000, 400_000, 4_000_000, 100);
    private static final Frame HELLO = FrameFactory.hello(new LinkIdentity("peer", 1), 0);

    private LinkFixture fixture;
    private CompletableFuture<CallResult> unaffectedCall;

    @BeforeEach
    void open() throws Exception {
        fixture = new LinkFixture(LIMITS);
        fixture.warmUp();
        unaffectedCall = fixture.client.call(fixture.address(), LinkFixture.request("unaffected", 20_000));
        LinkFixture.await(() -> !fixture.handler.runs.isEmpty());
    }

    @AfterEach
    void close() throws Exception {
        CallResult answer = LinkFixture.answer(Body.of(new byte[10]));
        fixture.handler.runs.element().complete(answer);
        assertEquals(answer, LinkFixture.await(unaffectedCall));
        assertEquals(1, fixture.clientCounters.read(LinkCounters.Count.LINKS_OPENED));
        fixture.close();
    }

    static Stream<BadInput> inputs() {
        Frame otherVersion = Frame.newBuilder()
                .setHello(Hello.newBuilder().setProtocolVersion(2).setNode("peer"))
                .build();
        return Stream.of(
                new BadInput(Refusal.NO_HELLO, peer -> {}),
                new BadInput(Refusal.NO_HELLO, peer -> peer.writeBytes((byte) 0, (byte) 0)),
                new BadInput(Refusal.OVERSIZED, peer -> peer.writeBytes((byte) 127, (byte) 0, (byte) 0, (byte) 0)),
                new BadInput(Refusal.OVERSIZED, peer -> peer.writeBytes((byte) 0, (byte) 2, (byte) 0, (byte) 0)),
                new BadInput(Refusal.OVERSIZED, peer -> peer.writeBytes((byte) -1, (byte) -1, (byte) -1, (byte) -1)),
                new BadInput(
                        Refusal.MALFORMED,
                        peer -> peer.writeBytes((byte) 0, (byte) 0, (byte) 0, (byte) 2, (byte) 255, (byte) 255)),
                new BadInput(Refusal.UNEXPECTED, peer -> peer.write(FrameFactory.ping())),
                new BadInput(Refusal.PROTOCOL_VERSION, peer -> peer.write(otherVersion)),
                new BadInput(Refusal.UNEXPECTED, afterHello(peer -> peer.write(Frame.getDefaultInstance()))),
                new BadInput(Refusal.UNEXPECTED, afterHello(peer -> peer.write(HELLO))),
                new BadInput(Refusal.UNEXPECTED, afterHello(peer -> peer.write(FrameFactory.pong(1)))),
                new BadInput(
                        Refusal.INCOMPLETE,
                        afterHello(peer -> peer.writeBytes((byte) 0, (byte) 0, (byte) 0, (byte) 9, (byte) 1))));
    }

    @ParameterizedTest
    @MethodSource("inputs")
    void closesTheConnectionAndCountsTheReason(final BadInput input) throws Exception {
        try (RawPeer peer = RawPeer.connect(fixture.address())) {
            input.peerAction().act(peer);
            assertTrue(peer.isClosedByPeer());
            assertEquals(1, fixture.serverCounters.read(input.refusal()));
        }
        assertEquals(1, fixture.handler.runs.size());
    }

    @Test
    void aHalfClosedConnectionIsClosed() throws Exception {
        try (RawPeer peer = RawPeer.connect(fixture.address())) {
            peer.write(HELLO);
            peer.read();
            peer.shutdownOutput();
            assertTrue(peer.isClosedByPeer());
        }
    }

    @Test
    void aPeerThatSendsALongFrameReceivesAPong() throws Exception {
        try (RawPeer peer = RawPeer.connect(fixture.address())) {
            peer.write(HELLO);
            peer.read();
            peer.writeBytes((byte) 0, (byte) 1, (byte) 0, (byte) 0, (byte) 1);
            assertTrue(peer.read().hasPong());
        }
    }

    @Test
    void partialFramesAreBoundedOverAllConnections() throws Exception {
        try (RawPeer first = RawPeer.connect(fixture.address());
                RawPeer second = RawPeer.connect(fixture.address())) {
            for (RawPeer peer : new RawPeer[] {first, second}) {
                peer.write(HELLO);
                peer.read();
                peer.writeBytes((byte) 0, (byte) 1, (byte) 0x80, (byte) 0);
                peer.writeBytes(new byte[70_000]);
            }
            LinkFixture.await(() -> fixture.serverCounters.read(Refusal.TOO_MUCH_PENDING) == 1);
        }
    }

    @Test
    void connectionsAreBounded() throws Exception {
        try (RawPeer first = RawPeer.connect(fixture.address());
                RawPeer second = RawPeer.connect(fixture.address())) {
            first.write(HELLO);
            first.read();
            second.write(HELLO);
            second.read();
            try (RawPeer third = RawPeer.connect(fixture.address())) {
                assertTrue(third.isClosedByPeer());
                assertEquals(1, fixture.serverCounters.read(Refusal.TOO_MANY_CONNECTIONS));
            }
        }
    }

    @Test
    void anInvalidControlMessageIsDroppedAndItsConnectionStaysOpen() throws Exception {
        try (RawPeer peer = RawPeer.connect(fixture.address())) {
            peer.write(HELLO);
            peer.read();
            peer.write(FrameFactory.of(Control.newBuilder().setSubject(5_000).build()));
            peer.write(FrameFactory.of(Control.newBuilder().setSubject(99).build()));
            peer.write(FrameFactory.of(Control.newBuilder()
                    .setSubject(99)
                    .setPayload(ByteString.copyFromUtf8("good"))
                    .build()));
            LinkFixture.await(() -> fixture.received.contains(new TextMessage("good")));
        }
        assertEquals(1, fixture.serverCounters.read(Refusal.UNKNOWN_SUBJECT));
        assertEquals(1, fixture.serverCounters.read(Refusal.MALFORMED_CONTROL));
    }

    @Test
    void aCallTooLargeForAFrameIsNotRun() throws Exception {
        Body large = Body.of(new byte[LIMITS.maximumFrameBytes()]);
        CallResult result =
                LinkFixture.await(fixture.client.call(fixture.address(), LinkFixture.request("large", 5_000, large)));
        assertEquals(CallResult.notRun(Reason.TOO_LARGE), result);
    }

    @Test
    void anAnswerTooLargeForAFrameIsReportedAsUnknown() throws Exception {
        CompletableFuture<CallResult> call = fixture.client.call(fixture.address(), LinkFixture.request("call", 5_000));
        LinkFixture.await(() -> fixture.handler.runs.size() == 2);
        CompletableFuture<CallResult> run =
                fixture.handler.runs.stream().skip(1).findFirst().orElseThrow();
        run.complete(LinkFixture.answer(Body.of(new byte[LIMITS.maximumFrameBytes()])));
        assertEquals(Outcome.UNKNOWN, LinkFixture.await(call).outcome());
    }

    private static PeerAction afterHello(final PeerAction peerAction) {
        return peer -> {
            peer.write(HELLO);
            peer.read();
            peerAction.act(peer);
        };
    }

    /** Input that a peer sends. */
    @FunctionalInterface
    private interface PeerAction {
        void act(RawPeer peer) throws Exception;
    }

    /** Input of a peer and the expected refusal reason. */
    private record BadInput(Refusal refusal, PeerAction peerAction) {}
}
