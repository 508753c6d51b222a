package org.sequoiashunt.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.peer.ControlMessage;

/** Unexpected errors must not end the loops of a node. */
@Timeout(20)
class LoopFailureTest {

    /** A document nested too deeply for a recursive reader ends in an error, not in an exception. */
    private static int overflow(final int depth) {
        return overflow(depth + 1) + 1;
    }

    @Test
    void controlLoopGoesOnAfterAnError() throws InterruptedException {
        AtomicInteger failures = new AtomicInteger();
        CountDownLatch later = new CountDownLatch(5);
        ControlLoop loop = new ControlLoop();
        loop.add(new Controller() {
            @Override
            public void tick() {
                if (failures.getAndIncrement() < 2) {
                    overflow(0);
                }
                later.countDown();
            }

            @Override
            public boolean receive(final String sender, final ControlMessage message) {
                overflow(0);
                return true;
            }
        });
        loop.start();
        loop.receive("peer", new ControlMessage() {});
        assertTrue(later.await(10, TimeUnit.SECONDS), "ticks after errors");
        loop.close();
    }

    @Test
    void blockingLoopGoesOnAfterAnError() throws InterruptedException {
        AtomicInteger steps = new AtomicInteger();
        CountDownLatch later = new CountDownLatch(1);
        BlockingLoop loop = BlockingLoop.start("test", () -> {
            if (steps.getAndIncrement() == 0) {
                overflow(0);
            }
            later.countDown();
            return 10;
        });
        assertTrue(later.await(10, TimeUnit.SECONDS), "steps after an error");
        loop.close();
        assertEquals(0, later.getCount());
    }
}
