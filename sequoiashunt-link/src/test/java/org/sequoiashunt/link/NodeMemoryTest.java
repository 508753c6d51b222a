package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.link.wire.FrameProto.Freshness;

/** A node with its own memory settings still serves an ordinary call of another peer while peers flood it. */
@Timeout(120)
class NodeMemoryTest {

    private static final int LARGEST_BODY_BYTES = 4 << 20;
    private static final int ORDINARY_BODY_BYTES = 200_000;
    private static final int ORDINARY_CALLS = 20;

    private final Closer closer = new Closer();
    private FloodedNode node;
    private LinkClient client;
    private int callCount;

    @BeforeEach
    void open() throws Exception {
        node = closer.register(FloodedNode.start());
        LinkThreads threads = closer.register(LinkThreads.start());
        LinkContext context = new LinkContext(
                threads,
                new LinkIdentity("entry", 1),
                FloodedNode.LIMITS,
                LinkFixture.CLOCK,
                MessageCodec.of(List.of(new TextMessage.Codec())),
                new LinkCounters());
        client = closer.register(LinkClient.open(
                context, RandomGeneratorFactory.of("L64X128MixRandom").create(1)));
        LinkFixture.await(() -> ordinaryCall("warm-up").outcome() == Outcome.COMPLETE);
    }

    @AfterEach
    void close() throws Exception {
        closer.close();
    }

    @Test
    void peersThatReadNoResultsDoNotExhaustTheMemory() throws Exception {
        for (int count = 0; count < 40; count++) {
            RawPeer peer = connect(count);
            for (int number = 1; number <= 4; number++) {
                start(peer, "peer-" + count + "-" + number, "/" + LARGEST_BODY_BYTES, Body.EMPTY);
            }
        }
        assertOrdinaryCallsSucceed();
    }

    @Test
    void largeHalfFramesDoNotExhaustTheMemory() throws Exception {
        for (int count = 0; count < 12; count++) {
            writeHalfFrame(connect(count), LARGEST_BODY_BYTES / 2);
        }
        assertOrdinaryCallsSucceed();
    }

    @Test
    void manySmallHalfFramesDoNotExhaustTheMemory() throws Exception {
        for (int count = 0; count < 1_500; count++) {
            writeHalfFrame(connect(count), 60_000);
        }
        assertOrdinaryCallsSucceed();
    }

    @Test
    void requestsThatWaitDoNotExhaustTheMemory() throws Exception {
        Body body = Body.of(new byte[LARGEST_BODY_BYTES]);
        for (int count = 0; count < 20; count++) {
            RawPeer peer = connect(count);
            for (int number = 1; number <= 3; number++) {
                start(peer, "peer-" + count + "-" + number, "/wait", body);
            }
        }
        assertOrdinaryCallsSucceed();
    }

    @Test
    void longIdentitiesDoNotExhaustTheMemory() throws Exception {
        for (int count = 0; count < 300; count++) {
            RawPeer peer = connect(count);
            peer.tryWrite(FrameFactory.cancel(count + "x".repeat(1_000_000), 60_000));
        }
        assertOrdinaryCallsSucceed();
    }

    @Test
    void statesThatAreNotReadDoNotExhaustTheMemory() throws Exception {
        for (int count = 0; count < 10; count++) {
            RawPeer peer = connect(count);
            String callId = count + "x".repeat(500);
            byte[] query = bytes(FrameFactory.query(1, callId, 60_000, false));
            ByteBuffer queries = ByteBuffer.allocate(query.length * 1_000);
            while (queries.hasRemaining()) {
                queries.put(query);
            }
            for (int repetition = 0; repetition < 20; repetition++) {
                peer.tryWriteBytes(queries.array());
            }
        }
        assertOrdinaryCallsSucceed();
    }

    private static byte[] bytes(final Frame frame) {
        return ByteBuffer.allocate(FrameFactory.encodedBytes(frame))
                .putInt(frame.getSerializedSize())
                .put(frame.toByteArray())
                .array();
    }

    private void assertOrdinaryCallsSucceed() throws Exception {
        List<Outcome> outcomes = new ArrayList<>();
        for (int count = 0; count < ORDINARY_CALLS; count++) {
            outcomes.add(ordinaryCall("ordinary").outcome());
        }
        assertEquals(
                ORDINARY_CALLS,
                outcomes.stream().filter(outcome -> outcome == Outcome.COMPLETE).count(),
                outcomes.toString());
    }

    private CallResult ordinaryCall(final String name) {
        String callId = name + "-" + callCount++;
        CallRequest request = request(callId, "/" + ORDINARY_BODY_BYTES, Body.of(new byte[ORDINARY_BODY_BYTES]));
        return client.call(node.address(), request)
                .completeOnTimeout(CallResult.unknown(Reason.DEADLINE), LinkFixture.WAIT_MS, TimeUnit.MILLISECONDS)
                .join();
    }

    private RawPeer connect(final int count) throws Exception {
        RawPeer peer = closer.register(RawPeer.connect(node.address()));
        peer.write(FrameFactory.hello(new LinkIdentity("peer-" + count, 1), 0));
        return peer;
    }

    /** Writes the beginning of a frame of the maximum length; a peer that was closed writes nothing. */
    private static void writeHalfFrame(final RawPeer peer, final int bytes) throws Exception {
        byte[] half = ByteBuffer.allocate(FrameFactory.LENGTH_BYTES + bytes)
                .putInt(LARGEST_BODY_BYTES)
                .array();
        peer.tryWriteBytes(half);
    }

    private static void start(final RawPeer peer, final String callId, final String uri, final Body body)
            throws Exception {
        Freshness freshness = Freshness.newBuilder()
                .setStamp(LinkFixture.CLOCK.nowMs())
                .setRemainingMs(60_000)
                .build();
        peer.tryWrite(FrameFactory.of(CallCodec.encode(1, request(callId, uri, body), freshness)));
    }

    private static CallRequest request(final String callId, final String uri, final Body body) {
        return new CallRequest(
                callId,
                "registry-desk",
                "lookup",
                "v1",
                "desk-1",
                "POST",
                uri,
                List.of(),
                body,
                false,
                Optional.empty(),
                LinkFixture.CLOCK.nowMs() + 60_000);
    }
}
