package org.sequoiashunt.link;

import io.netty.handler.codec.TooLongFrameException;
import java.util.Optional;

/** Finds the counted reason behind a failure of a connection. Stateless and thread-safe. */
final class RefusalClassifier {

    private RefusalClassifier() {}

    /**
     * Looks through the causes of a failure.
     *
     * @param failure the failure.
     * @return the reason, or empty if the connection simply broke.
     */
    static Optional<Refusal> of(final Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof LinkProtocolException exception) {
                return Optional.of(exception.refusal());
            }
            if (cause instanceof TooLongFrameException) {
                return Optional.of(Refusal.OVERSIZED);
            }
            if (cause instanceof RuntimeException && cause.getCause() == null) {
                return Optional.of(Refusal.MALFORMED);
            }
        }
        return Optional.empty();
    }
}
