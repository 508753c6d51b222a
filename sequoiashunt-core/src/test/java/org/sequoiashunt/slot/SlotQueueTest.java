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
            assertTrue(queue.startNext(0).isPresent());
        }
    }

    @Test
    void neverRunsMoreThanItsSlots() {
        fillSlots();
        queue.offer(waiting(1, 1_000), 0);
        assertEquals(Optional.empty(), queue.startNext(0));
        assertEquals(2, queue.running());
        assertEquals(1, queue.waiting());
    }

    @Test
    void refusesAtOnceWhatCannotStartInTime() {
        fillSlots();
        Optional<Long> waitMs = queue.offer(waiting(1, 10), 0);
        assertEquals(Optional.of(50L), waitMs, "one call ahead of two slots with a mean of 100 ms");
        assertEquals(0, queue.waiting());
    }

    @Test
    void startsLateWorkOnFreeSlots() {
        assertTrue(queue.offer(waiting(1, -5), 0).isEmpty());
        assertTrue(queue.startNext(0).isPresent());
    }

    @Test
    void urgentCallsOvertake() {
        fillSlots();
        WaitingCall ordinary = waiting(2, 900);
        WaitingCall urgent = waiting(0, 950);
        queue.offer(ordinary, 0);
        queue.offer(urgent, 0);
        queue.ended(100);
        assertEquals(Optional.of(urgent), queue.startNext(0));
        queue.ended(100);
        assertEquals(Optional.of(ordinary), queue.startNext(0));
    }

    @Test
    void lateCallsGiveWayToThoseThatCanStillMakeIt() {
        fillSlots();
        WaitingCall late = waiting(1, 100);
        WaitingCall timely = waiting(1, 800);
        queue.offer(late, 0);
        queue.offer(timely, 0);
        queue.ended(100);
        assertEquals(Optional.of(timely), queue.startNext(200));
        assertEquals(List.of(late), queue.removeLate(200));
    }

    @Test
    void theExpectedWaitFollowsTheMeasuredTime() {
        fillSlots();
        for (int call = 0; call < 100; call++) {
            queue.ended(400);
            queue.offer(waiting(1, 1_000), 0);
            queue.startNext(0);
        }
        assertEquals(200, queue.expectedWaitMs(1), 2);
    }

    @Test
    void removedCallsNeverStart() {
        fillSlots();
        WaitingCall gone = waiting(1, 1_000);
        queue.offer(gone, 0);
        assertTrue(queue.remove(gone));
        queue.ended(10);
        assertEquals(Optional.empty(), queue.startNext(0));
    }

    @Test
    void needsASlot() {
        assertThrows(IllegalArgumentException.class, () -> new SlotQueue(0));
    }
}
