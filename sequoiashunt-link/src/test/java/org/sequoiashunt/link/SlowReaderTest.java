package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.link.wire.FrameProto.Freshness;

/** Guards against unbounded memory and lost results when a peer reads no results until all calls have ended. */
class SlowReaderTest {

    private static final int CALLS = 40;
    private static final CallResult ANSWER = LinkFixture.answer(Body.of(new byte[1_000_000]));

    @Test
    void receivesEachAnswerInFullOrTheStateLost() throws Exception {
        try (LinkFixture fixture = new LinkFixture();
                RawPeer peer = RawPeer.connect(fixture.address())) {
            peer.write(FrameFactory.hello(new LinkIdentity("peer", 1), 0));
            long stamp = peer.read().getHello().getStamp();
            Freshness freshness = Freshness.newBuilder()
                    .setStamp(stamp)
                    .setRemainingMs(60_000)
                    .build();
            for (int number = 1; number <= CALLS; number++) {
                String callId = "call-" + number;
                peer.write(FrameFactory.of(CallCodec.encode(number, LinkFixture.request(callId, 60_000), freshness)));
            }
            LinkFixture.await(() -> fixture.handler.runs.size() == CALLS);
            for (CompletableFuture<CallResult> run : fixture.handler.runs) {
                run.complete(ANSWER);
            }
            assertEachCallEnds(peer);
        }
    }

    private static void assertEachCallEnds(final RawPeer peer) throws Exception {
        List<Long> complete = new ArrayList<>();
        List<Long> lost = new ArrayList<>();
        while (complete.size() + lost.size() < CALLS) {
            Frame frame = peer.read();
            if (frame.hasCallState()) {
                lost.add(frame.getCallState().getNumber());
            } else if (frame.hasCallEnd()) {
                assertEquals(ANSWER, CallCodec.decode(frame.getCallEnd()));
                complete.add(frame.getCallEnd().getNumber());
            }
        }
        assertTrue(complete.size() >= 4);
        assertFalse(lost.isEmpty(), "40 MB of results must not all be retained");
        complete.addAll(lost);
        assertEquals(CALLS, complete.stream().distinct().count());
    }
}
