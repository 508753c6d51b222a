package org.sequoiashunt.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.CallUrgency;

class SlotQueueTest {

    private final SlotQueue queue = new SlotQueue(2);
    private int number;

    private WaitingCall waiting(final int rank, final long latestStartMs) {
        number++;
        return new WaitingCall(
                CallRequests.of("call-" + number, new CallUrgency(rank, latestStartMs), 10_000),
                latestStartMs,
                new CompletableFuture<>());
    }

    private void fillSlots() {
        for (int slot = 0; slot < 2; slot++) {
            assertTrue(queue.offer(waiting(1, 1_000), 0).isEmpty());
            assertTrue(queue.takeNext(0).isPresent());
        }
    }

    @Test
    void neverRunsMoreCallsThanSlots() {
        fillSlots();
        queue.offer(waiting(1, 1_000), 0);
        assertEquals(Optional.empty(), queue.takeNext(0));
        assertEquals(2, queue.running());
        assertEquals(1, queue.waiting());
    }

    @Test
    void refusesCallThatCannotStartInTime() {
        fillSlots();
        Optional<Long> waitMs = queue.offer(waiting(1, 10), 0);
        assertEquals(Optional.of(50L), waitMs, "one call ahead of two slots with a mean of 100 ms");
        assertEquals(0, queue.waiting());
    }

    @Test
    void startsLateCallOnFreeSlot() {
        assertTrue(queue.offer(waiting(1, -5), 0).isEmpty());
        assertTrue(queue.takeNext(0).isPresent());
    }

    @Test
    void urgentCallStartsBeforeOrdinaryCall() {
        fillSlots();
        WaitingCall ordinary = waiting(2, 900);
        WaitingCall urgent = waiting(0, 950);
        queue.offer(ordinary, 0);
        queue.offer(urgent, 0);
        queue.releaseSlot(100);
        assertEquals(Optional.of(urgent), queue.takeNext(0));
        queue.releaseSlot(100);
        assertEquals(Optional.of(ordinary), queue.takeNext(0));
    }

    @Test
    void timelyCallStartsBeforeLateCall() {
        fillSlots();
        WaitingCall late = waiting(1, 100);
        WaitingCall timely = waiting(1, 800);
        queue.offer(late, 0);
        queue.offer(timely, 0);
        queue.releaseSlot(100);
        assertEquals(Optional.of(timely), queue.takeNext(200));
        assertEquals(List.of(late), queue.removeLateCalls(200));
    }

    @Test
    void expectedWaitFollowsMeasuredDurations() {
        fillSlots();
        for (int call = 0; call < 100; call++) {
            queue.releaseSlot(400);
            queue.offer(waiting(1, 1_000), 0);
            queue.takeNext(0);
        }
        assertEquals(200, queue.expectedWaitMs(1), 2);
    }

    @Test
    void removedCallNeverStarts() {
        fillSlots();
        WaitingCall removed = waiting(1, 1_000);
        queue.offer(removed, 0);
        assertTrue(queue.remove(removed));
        queue.releaseSlot(10);
        assertEquals(Optional.empty(), queue.takeNext(0));
    }

    @Test
    void rejectsZeroSlots() {
        assertThrows(IllegalArgumentException.class, () -> new SlotQueue(0));
    }
}
