package org.sequoiashunt.link;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts bytes, messages, connections, calls and refusals on the links of a node. The server and the client of a node
 * share one instance.
 *
 * <p>Thread-safe. Invariant: counts never decrease, except the number of open connections.
 */
public final class LinkCounters {

    private final Map<Count, LongAdder> counts = new EnumMap<>(Count.class);
    private final Map<Refusal, LongAdder> refusals = new EnumMap<>(Refusal.class);

    /** Creates counters that are all zero. */
    public LinkCounters() {
        for (Count count : Count.values()) {
            counts.put(count, new LongAdder());
        }
        for (Refusal refusal : Refusal.values()) {
            refusals.put(refusal, new LongAdder());
        }
    }

    /**
     * Reads a count.
     *
     * @param count the count, not null.
     * @return the current value.
     */
    public long read(final Count count) {
        return counts.get(count).sum();
    }

    /**
     * Reads how often a frame, call or connection was refused for a reason.
     *
     * @param refusal the reason, not null.
     * @return the current value.
     */
    public long read(final Refusal refusal) {
        return refusals.get(refusal).sum();
    }

    void add(final Count count, final long amount) {
        counts.get(count).add(amount);
    }

    void increment(final Count count) {
        counts.get(count).increment();
    }

    void countRefusal(final Refusal refusal) {
        refusals.get(refusal).increment();
    }

    /** Events, bytes and connections that are counted. Immutable and thread-safe. */
    public enum Count {
        /** Bytes of control, ping, pong and hello frames received. */
        CONTROL_BYTES_IN("control-bytes-in"),
        /** Bytes of control, ping, pong and hello frames sent. */
        CONTROL_BYTES_OUT("control-bytes-out"),
        /** Bytes of calls and answers received. */
        CALL_BYTES_IN("call-bytes-in"),
        /** Bytes of calls and answers sent. */
        CALL_BYTES_OUT("call-bytes-out"),
        /** Control messages received. */
        CONTROL_MESSAGES_IN("control-messages-in"),
        /** Control messages sent. */
        CONTROL_MESSAGES_OUT("control-messages-out"),
        /** Control messages dropped because they were too long or their link was full, blocked or not available. */
        CONTROL_MESSAGES_DROPPED("control-messages-dropped"),
        /** Connections accepted from peers and still open. */
        CONNECTIONS_ACCEPTED("connections-accepted"),
        /** Links opened to peers. */
        LINKS_OPENED("links-opened"),
        /** Links that could not be opened. */
        LINKS_FAILED("links-failed"),
        /** Links replaced because the peer went silent. */
        LINKS_REPLACED("links-replaced"),
        /** Calls whose state was queried on a new connection. */
        CALLS_ASKED("calls-asked"),
        /** Calls that were still running when queried after their connection was lost. */
        CALLS_RESUMED("calls-resumed");

        private final String label;

        Count(final String label) {
            this.label = label;
        }

        /**
         * Returns the name in the metrics.
         *
         * @return the name, never null.
         */
        public String label() {
            return label;
        }
    }
}
