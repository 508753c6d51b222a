package org.sequoiashunt.link;

import java.util.Objects;
import org.sequoiashunt.time.Clock;

/**
 * What the server and the client of one node share.
 *
 * <p>Immutable; thread-safe as its parts are.
 *
 * @param threads the threads, closed by their owner.
 * @param identity the process on this side.
 * @param limits the bounds.
 * @param clock the time.
 * @param codec the codecs of control messages.
 * @param counters counts what passes.
 */
public record LinkContext(
        LinkThreads threads,
        LinkIdentity identity,
        LinkLimits limits,
        Clock clock,
        MessageCodec codec,
        LinkCounters counters) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public LinkContext {
        Objects.requireNonNull(threads, "threads");
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(codec, "codec");
        Objects.requireNonNull(counters, "counters");
    }
}
