package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.link.LinkCounters.Count;

/** Calls, control messages and idle connections between a link client and a link server on loopback. */
class LinkTest {

    private static final LinkLimits SHORT_IDLE = new LinkLimits(
            250, 750, 750, 1_000, 3_000, 300, 1_500, 10_000, 100_000, 10, 100_000, 100_000, 100_000, 100_000, 100);

    @Test
    void carriesACallAndItsAnswer() throws Exception {
        try (LinkFixture fixture = new LinkFixture()) {
            fixture.warmUp();
            CallRequest request = LinkFixture.request("call", 60_000);
            CompletableFuture<CallResult> call = fixture.client.call(fixture.address(), request);
            LinkFixture.await(() -> !fixture.handler.runs.isEmpty());
            CallResult answer = LinkFixture.answer(Body.of("whole".getBytes())).withLoad(3);
            fixture.handler.runs.remove().complete(answer);
            assertEquals(answer, LinkFixture.await(call));
            CallRequest arrived = fixture.handler.requests.remove();
            assertTrue(arrived.deadlineMs() <= request.deadlineMs());
            assertEquals(request.body(), arrived.body());
            assertEquals(request.idempotencyKey(), arrived.idempotencyKey());
            LinkFixture.await(() -> fixture.server.outstandingCalls() == 0);
        }
    }

    @Test
    void carriesControlMessages() throws Exception {
        try (LinkFixture fixture = new LinkFixture()) {
            fixture.warmUp();
            fixture.client.send(fixture.address(), new TextMessage("hello"));
            LinkFixture.await(() -> fixture.received.contains(new TextMessage("hello")));
        }
    }

    @Test
    void oneControlMessageGoesToSeveralNodes() throws Exception {
        try (LinkFixture fixture = new LinkFixture()) {
            fixture.warmUp();
            LinkServer other = fixture.openServer(LinkLimits.standard(), 2, 0);
            fixture.client.send(List.of(fixture.address(), other.address()), new TextMessage("to-all"));
            LinkFixture.await(() -> fixture.received.stream()
                            .filter(new TextMessage("to-all")::equals)
                            .count()
                    == 2);
        }
    }

    @Test
    void anIdleLinkIsClosedAndOpensAgainForTheNextMessage() throws Exception {
        try (LinkFixture fixture = new LinkFixture(SHORT_IDLE)) {
            fixture.warmUp();
            LinkFixture.await(() -> fixture.serverCounters.read(Count.CONNECTIONS_ACCEPTED) == 0);
            assertEquals(0, fixture.clientCounters.read(Count.LINKS_REPLACED));
            assertEquals(0, fixture.serverCounters.read(Refusal.IDLE));
            fixture.client.send(fixture.address(), new TextMessage("again"));
            LinkFixture.await(() -> fixture.received.contains(new TextMessage("again")));
        }
    }

    @Test
    void aLinkThatCarriesCallsStaysOpen() throws Exception {
        try (LinkFixture fixture = new LinkFixture(SHORT_IDLE)) {
            fixture.warmUp();
            long endMs = LinkFixture.CLOCK.nowMs() + 3 * SHORT_IDLE.idleTimeoutMs();
            while (LinkFixture.CLOCK.nowMs() < endMs) {
                CompletableFuture<CallResult> call =
                        fixture.client.call(fixture.address(), LinkFixture.request("call-" + endMs--, 5_000));
                LinkFixture.await(() -> !fixture.handler.runs.isEmpty());
                fixture.handler.runs.remove().complete(LinkFixture.answer(Body.EMPTY));
                LinkFixture.await(call);
            }
            assertEquals(1, fixture.clientCounters.read(Count.LINKS_OPENED));
        }
    }

    @Test
    void carriesBodiesOfTheMaximumLengthBothWays() throws Exception {
        Body maximumBody = Body.of(new byte[3_000_000]);
        LinkLimits limits = LinkLimits.standard().withMaximumBodyBytes(maximumBody.length());
        try (LinkFixture fixture = new LinkFixture(limits)) {
            fixture.warmUp();
            CompletableFuture<CallResult> call =
                    fixture.client.call(fixture.address(), LinkFixture.request("call", 60_000, maximumBody));
            LinkFixture.await(() -> !fixture.handler.runs.isEmpty());
            CallResult answer = LinkFixture.answer(maximumBody);
            fixture.handler.runs.remove().complete(answer);
            assertEquals(answer, LinkFixture.await(call));
        }
    }

    @Test
    void cancellationReachesTheGate() throws Exception {
        try (LinkFixture fixture = new LinkFixture()) {
            fixture.warmUp();
            CompletableFuture<CallResult> call =
                    fixture.client.call(fixture.address(), LinkFixture.request("call", 5_000));
            LinkFixture.await(() -> !fixture.handler.runs.isEmpty());
            call.cancel(true);
            LinkFixture.await(() -> fixture.handler.runs.element().isCancelled());
        }
    }
}
