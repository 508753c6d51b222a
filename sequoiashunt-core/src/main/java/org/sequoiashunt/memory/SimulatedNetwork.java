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
 * Simulates the network between nodes of one process, for tests and trials on a stepped clock: latency, loss,
 * duplication, reordering, links cut in one direction and frozen receivers. Counts messages and estimated bytes.
 *
 * <p>Attach each node, then call {@link #deliverDue()} whenever the clock has moved.
 *
 * <p>Confined to one thread. Invariant: with the same seed and the same calls, the same messages arrive in the same
 * order.
 */
public final class SimulatedNetwork {

    // Estimate of the length, type, number and sender name that each frame carries on an open connection.
    private static final int FRAME_OVERHEAD_BYTES = 24;

    private final Clock clock;
    private final RandomGenerator random;
    private final ToLongBiFunction<NodeAddress, NodeAddress> latencyMs;
    private final Map<NodeAddress, Controller> receivers = new HashMap<>();
    private final Map<NodeAddress, Traffic> traffic = new HashMap<>();
    private final Map<NodeAddress, Deque<InFlightMessage>> heldMessages = new HashMap<>();
    private final Queue<InFlightMessage> messagesInFlight = new PriorityQueue<>();
    private BiPredicate<NodeAddress, NodeAddress> isCut = (sender, receiver) -> false;
    private double lossProbability;
    private double duplicationProbability;
    private long maximumJitterMs;
    private long nextSequence;

    /**
     * Creates a network without faults.
     *
     * @param clock the clock, not null.
     * @param random the random number generator, not null.
     * @param latencyMs returns the latency from sender to receiver, in milliseconds, not null.
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
     * Returns a sender for a node.
     *
     * @param node the name of the node, not null.
     * @param address the address of the node, not null.
     * @return the sender, never null.
     */
    public PeerSender sender(final String node, final NodeAddress address) {
        return (receiver, message) -> send(node, address, receiver, message);
    }

    /**
     * Registers the receiver of an address, in place of the previous one, and discards held messages.
     *
     * @param address the address, not null.
     * @param receiver receives the messages, not null.
     */
    public void attach(final NodeAddress address, final Controller receiver) {
        receivers.put(address, receiver);
        heldMessages.remove(address);
    }

    /**
     * Removes a node as if its process had been killed: messages in flight to it are lost.
     *
     * @param address the address of the node, not null.
     */
    public void detach(final NodeAddress address) {
        receivers.remove(address);
        heldMessages.remove(address);
    }

    /**
     * Holds back messages that arrive at an address until {@link #thaw}.
     *
     * @param address the address of the node, not null.
     */
    public void freeze(final NodeAddress address) {
        heldMessages.putIfAbsent(address, new ArrayDeque<>());
    }

    /**
     * Releases the messages held back for an address; the next {@link #deliverDue()} delivers them.
     *
     * @param address the address of the node, not null.
     */
    public void thaw(final NodeAddress address) {
        Deque<InFlightMessage> held = heldMessages.remove(address);
        if (held != null) {
            messagesInFlight.addAll(held);
        }
    }

    /**
     * Sets between which nodes all messages are lost, in place of the previous setting.
     *
     * @param cutLinks returns whether messages from the first address to the second are lost, not null.
     */
    public void setCutLinks(final BiPredicate<NodeAddress, NodeAddress> cutLinks) {
        isCut = Objects.requireNonNull(cutLinks, "cutLinks");
    }

    /**
     * Sets the random faults of all links.
     *
     * @param loss the probability that a message is lost, from 0 to 1.
     * @param duplication the probability that a message arrives twice, from 0 to 1.
     * @param jitter the largest random delay in milliseconds, zero or more; a positive value can reorder messages.
     */
    public void setFaults(final double loss, final double duplication, final long jitter) {
        lossProbability = loss;
        duplicationProbability = duplication;
        maximumJitterMs = jitter;
    }

    /** Delivers all messages that are due, including those sent during the delivery. */
    public void deliverDue() {
        long nowMs = clock.nowMs();
        while (!messagesInFlight.isEmpty() && messagesInFlight.peek().deliveryMs() <= nowMs) {
            InFlightMessage next = messagesInFlight.poll();
            Deque<InFlightMessage> held = heldMessages.get(next.receiver());
            if (held != null) {
                held.add(next);
            } else {
                deliver(next);
            }
        }
    }

    /**
     * Returns the traffic of a node since the last reset.
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
        int bytes = FRAME_OVERHEAD_BYTES + WireSizeEstimator.estimate(message);
        traffic.merge(address, new Traffic(1, bytes, 0, 0), Traffic::plus);
        if (isCut.test(address, receiver) || random.nextDouble() < lossProbability) {
            return;
        }
        enqueue(node, address, receiver, message, bytes);
        if (random.nextDouble() < duplicationProbability) {
            enqueue(node, address, receiver, message, bytes);
        }
    }

    private void enqueue(
            final String node,
            final NodeAddress address,
            final NodeAddress receiver,
            final ControlMessage message,
            final int bytes) {
        long delayMs = latencyMs.applyAsLong(address, receiver)
                + (maximumJitterMs == 0 ? 0 : random.nextLong(maximumJitterMs + 1));
        messagesInFlight.add(
                new InFlightMessage(clock.nowMs() + delayMs, nextSequence++, node, receiver, message, bytes));
    }

    private void deliver(final InFlightMessage message) {
        Controller receiver = receivers.get(message.receiver());
        if (receiver != null) {
            traffic.merge(message.receiver(), new Traffic(0, 0, 1, message.bytes()), Traffic::plus);
            receiver.receive(message.node(), message.message());
        }
    }

    /** Message in flight, ordered by delivery time and then by the order of sending. Immutable and thread-safe. */
    private record InFlightMessage(
            long deliveryMs, long sequence, String node, NodeAddress receiver, ControlMessage message, int bytes)
            implements Comparable<InFlightMessage> {

        @Override
        public int compareTo(final InFlightMessage other) {
            int order = Long.compare(deliveryMs, other.deliveryMs);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Counts of messages and bytes that a node sent and received. Immutable and thread-safe.
     *
     * @param sentMessages messages sent, including lost ones.
     * @param sentBytes estimated bytes of the messages sent.
     * @param receivedMessages messages received.
     * @param receivedBytes estimated bytes of the messages received.
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
