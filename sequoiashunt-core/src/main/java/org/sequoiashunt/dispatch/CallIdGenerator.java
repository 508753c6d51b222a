package org.sequoiashunt.dispatch;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Makes identities for attempts, unique over nodes, restarts and attempts.
 *
 * <p>Thread-safe.
 */
public final class CallIdGenerator {

    private final String prefix;
    private final AtomicLong sequence = new AtomicLong();

    /**
     * Creates a source.
     *
     * @param node the name of the node, not null.
     * @param incarnation a number that differs for each start of the node.
     */
    public CallIdGenerator(final String node, final long incarnation) {
        this.prefix =
                Objects.requireNonNull(node, "node") + "-" + Long.toString(incarnation, Character.MAX_RADIX) + "-";
    }

    /**
     * Makes an identity.
     *
     * @return an identity never returned before.
     */
    public String next() {
        return prefix + Long.toString(sequence.incrementAndGet(), Character.MAX_RADIX);
    }
}
