package org.sequoiashunt.memory;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.BiPredicate;
import java.util.function.ToLongBiFunction;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.replication.WireSizeEstimator;
import org.sequoiashunt.time.Clock;

/**
 * Network between nodes of one process, for tests and trials on a stepped clock: with latency, loss, repetition,
 * overtaking, cuts of single directions and frozen receivers. Counts messages and estimated bytes.
 *
 * <p>Attach each node, then call {@link #deliverDue()} whenever the clock has moved.
 *
 * <p>Confined to one thread. Invariant: with the same seed and the same calls, the same messages arrive in the same
 * order.
 */
public final class SimulatedNetwork {

    // Length, type, number and sender's name of a frame on a kept-open connection.
    private static final int FRAME_BYTES = 24;

    private final Clock clock;
    private final RandomGenerator random;
    private final ToLongBiFunction<NodeAddress, NodeAddress> latencyMs;
    private final Map<NodeAddress, Controller> receivers = new HashMap<>();
    private final Map<NodeAddress, Traffic> traffic = new HashMap<>();
    private final Map<NodeAddress, Deque<InFlight>> frozen = new HashMap<>();
    private final Queue<InFlight> inFlight = new PriorityQueue<>();
    private BiPredicate<NodeAddress, NodeAddress> cut = (sender, receiver) -> false;
    private double lossShare;
    private double repetitionShare;
    private long jitterMs;
    private long sequence;

    /**
     * Creates a network without faults.
     *
     * @param clock the clock, not null.
     * @param random the source of chance, not null.
     * @param latencyMs the time that a message takes from sender to receiver, in milliseconds, not null.
     */
    public SimulatedNetwork(
            final Clock clock,
            final RandomGenerator random,
            final ToLongBiFunction<NodeAddress, NodeAddress> latencyMs) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.latencyMs = Objects.requireNonNull(latencyMs, "latencyMs");
    }

    /**
     * Returns what a node sends through.
     *
     * @param node the name of the node, not null.
     * @param address its address, not null.
     * @return the sender, never null.
     */
    public PeerSender sender(final String node, final NodeAddress address) {
        return (receiver, message) -> send(node, address, receiver, message);
    }

    /**
     * Lets a node receive at an address, instead of the one that did so before.
     *
     * @param address the address, not null.
     * @param receiver takes the messages, not null.
     */
    public void attach(final NodeAddress address, final Controller receiver) {
        receivers.put(address, receiver);
        frozen.remove(address);
    }

    /**
     * Removes a node as if its process had been killed: what is on the way to it is lost.
     *
     * @param address the address of the node, not null.
     */
    public void detach(final NodeAddress address) {
        receivers.remove(address);
        frozen.remove(address);
    }

    /**
     * Holds back what arrives at an address until {@link #thaw}.
     *
     * @param address the address of the node, not null.
     */
    public void freeze(final NodeAddress address) {
        frozen.putIfAbsent(address, new ArrayDeque<>());
    }

    /**
     * Delivers what was held back, from the next call of {@link #deliverDue()} on.
     *
     * @param address the address of the node, not null.
     */
    public void thaw(final NodeAddress address) {
        Deque<InFlight> held = frozen.remove(address);
        if (held != null) {
            inFlight.addAll(held);
        }
    }

    /**
     * Sets which messages are lost from now on because sender and receiver are cut off.
     *
     * @param lost tells of sender and receiver whether the way is cut, not null.
     */
    public void setCut(final BiPredicate<NodeAddress, NodeAddress> lost) {
        cut = Objects.requireNonNull(lost, "lost");
    }

    /**
     * Sets the random faults of every way.
     *
     * @param loss the share of messages that are lost, from 0 to 1.
     * @param repetition the share of messages that arrive twice, from 0 to 1.
     * @param jitter the largest random delay in milliseconds, zero or more; it lets messages overtake each other.
     */
    public void setFaults(final double loss, final double repetition, final long jitter) {
        lossShare = loss;
        repetitionShare = repetition;
        jitterMs = jitter;
    }

    /** Delivers all messages whose time has come, also those sent meanwhile. */
    public void deliverDue() {
        long nowMs = clock.nowMs();
        while (!inFlight.isEmpty() && inFlight.peek().atMs() <= nowMs) {
            InFlight next = inFlight.poll();
            Deque<InFlight> held = frozen.get(next.receiver());
            if (held != null) {
                held.add(next);
            } else {
                deliver(next);
            }
        }
    }

    /**
     * Returns what a node sent and received.
     *
     * @param address the address of the node, not null.
     * @return the counts, zero for an unknown node, never null.
     */
    public Traffic traffic(final NodeAddress address) {
        return traffic.getOrDefault(address, Traffic.NONE);
    }

    /** Sets all counts to zero. */
    public void resetTraffic() {
        traffic.clear();
    }

    private void send(
            final String node, final NodeAddress address, final NodeAddress receiver, final ControlMessage message) {
        int bytes = FRAME_BYTES + WireSizeEstimator.estimate(message);
        traffic.merge(address, new Traffic(1, bytes, 0, 0), Traffic::plus);
        if (cut.test(address, receiver) || random.nextDouble() < lossShare) {
            return;
        }
        enqueue(node, address, receiver, message, bytes);
        if (random.nextDouble() < repetitionShare) {
            enqueue(node, address, receiver, message, bytes);
        }
    }

    private void enqueue(
            final String node,
            final NodeAddress address,
            final NodeAddress receiver,
            final ControlMessage message,
            final int bytes) {
        long delayMs = latencyMs.applyAsLong(address, receiver) + (jitterMs == 0 ? 0 : random.nextLong(jitterMs + 1));
        inFlight.add(new InFlight(clock.nowMs() + delayMs, sequence++, node, receiver, message, bytes));
    }

    private void deliver(final InFlight arrived) {
        Controller receiver = receivers.get(arrived.receiver());
        if (receiver != null) {
            traffic.merge(arrived.receiver(), new Traffic(0, 0, 1, arrived.bytes()), Traffic::plus);
            receiver.receive(arrived.node(), arrived.message());
        }
    }

    /** Message on its way. Immutable and thread-safe. */
    private record InFlight(
            long atMs, long sequence, String node, NodeAddress receiver, ControlMessage message, int bytes)
            implements Comparable<InFlight> {

        @Override
        public int compareTo(final InFlight other) {
            int order = Long.compare(atMs, other.atMs);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * What a node sent and received. Immutable and thread-safe.
     *
     * @param sentMessages messages sent, also those that were lost.
     * @param sentBytes estimated bytes of these.
     * @param receivedMessages messages received.
     * @param receivedBytes estimated bytes of these.
     */
    public record Traffic(long sentMessages, long sentBytes, long receivedMessages, long receivedBytes) {

        /** Nothing sent and nothing received. */
        public static final Traffic NONE = new Traffic(0, 0, 0, 0);

        /**
         * Adds counts.
         *
         * @param other the counts to add, not null.
         * @return the sum, never null.
         */
        public Traffic plus(final Traffic other) {
            return new Traffic(
                    sentMessages + other.sentMessages,
                    sentBytes + other.sentBytes,
                    receivedMessages + other.receivedMessages,
                    receivedBytes + other.receivedBytes);
        }
    }
}
