package org.sequoiashunt.link;

import java.util.Objects;
import org.sequoiashunt.time.Clock;

/**
 * Objects that the link server and the link client of one node share.
 *
 * <p>Immutable; thread-safe if its components are.
 *
 * @param threads the threads, closed by the code that started them.
 * @param identity the identity of this process.
 * @param limits the limits of the protocol.
 * @param clock the source of time in milliseconds.
 * @param codec the codecs of control messages.
 * @param counters the counters that the server and the client update.
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
