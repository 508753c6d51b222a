package org.sequoiashunt.link;

import java.util.Objects;

/** Thrown when a peer violates the protocol. */
public final class LinkProtocolException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Refusal refusal;

    /**
     * Creates an exception.
     *
     * @param refusal the counted reason, not null.
     * @param message what was wrong, not null.
     */
    public LinkProtocolException(final Refusal refusal, final String message) {
        super(message);
        this.refusal = Objects.requireNonNull(refusal, "refusal");
    }

    /**
     * Creates an exception with a cause.
     *
     * @param refusal the counted reason, not null.
     * @param message what was wrong, not null.
     * @param cause the cause, may be null.
     */
    public LinkProtocolException(final Refusal refusal, final String message, final Throwable cause) {
        super(message, cause);
        this.refusal = Objects.requireNonNull(refusal, "refusal");
    }

    /**
     * Returns the reason under which the refusal is counted.
     *
     * @return the reason, never null.
     */
    public Refusal refusal() {
        return refusal;
    }
}
