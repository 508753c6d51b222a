package org.sequoiashunt.trial.overload;

import java.util.PriorityQueue;
import org.sequoiashunt.time.Clock;
import org.sequoiashunt.time.Delays;
import org.sequoiashunt.time.SteppedClock;

/**
 * Runs tasks in the order of their times on a stepped clock. Tasks of the same time run in the order in which they were
 * added. Confined to one thread.
 */
final class EventQueue implements Delays {

    private final SteppedClock clock = SteppedClock.of(0);
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long added;

    Clock clock() {
        return clock;
    }

    long nowMs() {
        return clock.nowMs();
    }

    @Override
    public Runnable after(final long delayMs, final Runnable task) {
        Event event = new Event(clock.nowMs() + Math.max(0, delayMs), added++, task);
        events.add(event);
        return () -> events.remove(event);
    }

    /** Runs all tasks that are due before a time. */
    void runUntil(final long endMs) {
        while (!events.isEmpty() && events.peek().atMs() < endMs) {
            Event event = events.poll();
            clock.advance(event.atMs() - clock.nowMs());
            event.task().run();
        }
    }

    /** One task and its time. Immutable. */
    private record Event(long atMs, long number, Runnable task) implements Comparable<Event> {

        @Override
        public int compareTo(final Event other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime == 0 ? Long.compare(number, other.number) : byTime;
        }
    }
}
