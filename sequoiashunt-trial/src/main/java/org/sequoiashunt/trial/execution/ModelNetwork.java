package org.sequoiashunt.trial.execution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Network between the nodes of a model: delays, repeats, loses and cuts messages by a seeded random source.
 *
 * <p>Confined to one thread.
 */
final class ModelNetwork {

    private static final int SLOW_ONE_IN = 200;
    private static final int REPEAT_ONE_IN = 50;

    private final RandomGenerator random;
    private final int longestDelayMs;
    private final PriorityQueue<Delivery> queue =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::number));
    private final Set<String> cuts = new HashSet<>();
    private long sent;

    /**
     * Creates a network without cuts.
     *
     * @param random the source of chance, not null.
     * @param longestDelayMs the delay of the slowest messages, in milliseconds, positive.
     */
    ModelNetwork(final RandomGenerator random, final int longestDelayMs) {
        this.random = random;
        this.longestDelayMs = longestDelayMs;
    }

    void send(final String from, final String to, final ControlMessage message, final long nowMs) {
        if (isCut(from, to)) {
            return;
        }
        enqueue(from, to, message, nowMs);
        if (random.nextInt(REPEAT_ONE_IN) == 0) {
            enqueue(from, to, message, nowMs);
        }
    }

    /**
     * Takes the messages that are due.
     *
     * @param nowMs the time.
     * @return the messages in order of arrival.
     */
    List<Delivery> due(final long nowMs) {
        List<Delivery> due = new ArrayList<>();
        while (!queue.isEmpty() && queue.peek().atMs <= nowMs) {
            due.add(queue.poll());
        }
        return due;
    }

    boolean isCut(final String from, final String to) {
        return cuts.contains(from + ">" + to);
    }

    void cut(final String from, final String to) {
        cuts.add(from + ">" + to);
    }

    void heal() {
        cuts.clear();
    }

    long sent() {
        return sent;
    }

    private void enqueue(final String from, final String to, final ControlMessage message, final long nowMs) {
        int delayMs = random.nextInt(SLOW_ONE_IN) == 0 ? random.nextInt(longestDelayMs) : random.nextInt(100);
        queue.add(new Delivery(nowMs + delayMs, sent++, from, to, message));
    }

    /** Message under way. Immutable. */
    record Delivery(long atMs, long number, String from, String to, ControlMessage message) {}
}
