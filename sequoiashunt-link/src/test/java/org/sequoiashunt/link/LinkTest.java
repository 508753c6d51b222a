package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;

/** A client and a server on loopback. */
class LinkTest {

    @Test
    void carriesACallAndItsAnswer() throws Exception {
        try (LinkFixture fixture = new LinkFixture()) {
            fixture.warmUp();
            CallRequest request = LinkFixture.request("call", 2_000);
            CompletableFuture<CallResult> call = fixture.client.call(fixture.address(), request);
            LinkFixture.await(() -> !fixture.handler.runs.isEmpty());
            CallResult answer = LinkFixture.answer(Body.of("whole".getBytes())).withLoad(3);
            fixture.handler.runs.remove().complete(answer);
            assertEquals(answer, LinkFixture.await(call));
            CallRequest arrived = fixture.handler.requests.remove();
            assertTrue(arrived.deadlineMs() <= request.deadlineMs());
            assertEquals(request.body(), arrived.body());
            assertEquals(request.key(), arrived.key());
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
