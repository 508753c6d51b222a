package org.sequoiashunt.node.mesh;

import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Optional;
import java.util.Set;

/**
 * Memory for the bodies of all answers that are being received.
 *
 * <p>Where an answer does not fit, the largest one is given up if it is larger: targets in trouble may send answers
 * without end, or send them slowly until the deadline, and those pay before ordinary answers do.
 *
 * <p>Confined to the event loop of the connections, but for {@link #reservedBytes()}, which is thread-safe. Invariant:
 * the reserved bytes never exceed the limit.
 */
final class AnswerMemory {

    private final ByteBudget budget;
    private final Set<TargetExchange> holders = Collections.newSetFromMap(new IdentityHashMap<>());

    /**
     * Creates a memory of which nothing is reserved.
     *
     * @param limitBytes the largest number of bytes reserved at a time, at least 1.
     */
    AnswerMemory(final long limitBytes) {
        budget = new ByteBudget(limitBytes);
    }

    /** Reserves bytes and returns true, or reserves none and returns false if no larger answer can be given up. */
    boolean tryReserve(final TargetExchange exchange, final int bytes) {
        while (!budget.tryReserve(bytes)) {
            Optional<TargetExchange> largest =
                    holders.stream().max(Comparator.comparingLong(TargetExchange::reservedBytes));
            if (largest.isEmpty() || largest.get().reservedBytes() <= exchange.reservedBytes() + bytes) {
                return false;
            }
            largest.get().giveUp();
        }
        holders.add(exchange);
        return true;
    }

    /** Releases all bytes of an exchange. */
    void release(final TargetExchange exchange, final long bytes) {
        holders.remove(exchange);
        budget.release(bytes);
    }

    /** Returns the number of reserved bytes. */
    long reservedBytes() {
        return budget.reservedBytes();
    }
}
