package org.sequoiashunt.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.peer.ControlMessage;

/** Control messages of one peer must not fill the memory, nor displace those of others. */
@Timeout(20)
class ControlLoopMemoryTest {

    private static final int MESSAGES = 100;
    private static final int LONG_MESSAGE_BYTES = 1 << 20;

    @Test
    void longMessagesOfOnePeerAreDroppedAndThoseOfOthersAreHandled() throws InterruptedException {
        Queue<String> handled = new ConcurrentLinkedQueue<>();
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch ordinaryHandled = new CountDownLatch(1);
        ControlLoop loop = new ControlLoop();
        loop.add(new Controller() {
            @Override
            public void tick() {
                // Only messages matter here.
            }

            @Override
            public boolean receive(final String sender, final ControlMessage message) {
                awaitUninterrupted(blocked);
                handled.add(sender);
                if (sender.equals("ordinary")) {
                    ordinaryHandled.countDown();
                }
                return true;
            }
        });
        for (int count = 0; count < MESSAGES; count++) {
            loop.receive("flooding", new ControlMessage() {}, LONG_MESSAGE_BYTES);
        }
        loop.receive("ordinary", new ControlMessage() {}, LONG_MESSAGE_BYTES);
        blocked.countDown();
        assertTrue(ordinaryHandled.await(10, TimeUnit.SECONDS), "the message of another peer is handled");
        assertEquals(2, handled.stream().filter("flooding"::equals).count(), "messages held of the flooding peer");
        assertEquals(MESSAGES - 2, loop.droppedCount());
        loop.close();
    }

    private static void awaitUninterrupted(final CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
