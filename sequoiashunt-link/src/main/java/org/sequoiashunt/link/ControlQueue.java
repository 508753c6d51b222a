package org.sequoiashunt.link;

import java.util.ArrayDeque;
import java.util.Deque;
import org.sequoiashunt.link.LinkCounters.Count;
import org.sequoiashunt.link.wire.FrameProto.Frame;

/**
 * Queue of control messages that wait for their link to open.
 *
 * <p>Confined to the thread of its link. Invariants: the bytes are bounded; every message is counted as either sent or
 * dropped.
 */
final class ControlQueue {

    private static final long MAXIMUM_BYTES = 262_144;

    private final LinkCounters counters;
    private final Deque<Frame> frames = new ArrayDeque<>();
    private long bytes;

    ControlQueue(final LinkCounters counters) {
        this.counters = counters;
    }

    boolean isEmpty() {
        return frames.isEmpty();
    }

    /**
     * Adds a message, or drops it if the queued bytes have reached the limit.
     *
     * @param frame the message.
     */
    void add(final Frame frame) {
        if (bytes >= MAXIMUM_BYTES) {
            counters.increment(Count.CONTROL_MESSAGES_DROPPED);
            return;
        }
        frames.addLast(frame);
        bytes += frame.getSerializedSize();
    }

    void writeTo(final LinkConnection connection) {
        while (!frames.isEmpty() && connection.isWritable()) {
            Frame frame = frames.removeFirst();
            bytes -= frame.getSerializedSize();
            connection.write(frame);
            counters.increment(Count.CONTROL_MESSAGES_OUT);
        }
    }

    void dropAll() {
        counters.add(Count.CONTROL_MESSAGES_DROPPED, frames.size());
        frames.clear();
        bytes = 0;
    }
}
