package org.sequoiashunt.link;

import io.netty.handler.codec.TooLongFrameException;
import java.util.Optional;

/** Determines the refusal reason for a failure of a connection. Stateless and thread-safe. */
final class RefusalClassifier {

    private RefusalClassifier() {}

    /**
     * Searches a failure and its causes for a refusal reason.
     *
     * @param failure the failure.
     * @return the reason, or empty if the connection was lost.
     */
    static Optional<Refusal> classify(final Throwable failure) {
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
