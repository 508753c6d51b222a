package org.sequoiashunt.dispatch;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates identifiers of attempts that are unique across nodes and restarts.
 *
 * <p>Thread-safe.
 */
public final class CallIdGenerator {

    private final String prefix;
    private final AtomicLong sequence = new AtomicLong();

    /**
     * Creates a generator.
     *
     * @param node the name of the node, not null.
     * @param incarnation a number that differs for each start of the node.
     */
    public CallIdGenerator(final String node, final long incarnation) {
        this.prefix =
                Objects.requireNonNull(node, "node") + "-" + Long.toString(incarnation, Character.MAX_RADIX) + "-";
    }

    /**
     * Generates an identifier.
     *
     * @return an identifier that was never returned before.
     */
    public String next() {
        return prefix + Long.toString(sequence.incrementAndGet(), Character.MAX_RADIX);
    }
}
