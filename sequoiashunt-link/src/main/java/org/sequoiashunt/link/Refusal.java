package org.sequoiashunt.link;

/** Why a frame was refused or a connection closed. Immutable and thread-safe. */
public enum Refusal {
    /** A frame is longer than the limit. */
    OVERSIZED("oversized"),
    /** A frame is not a message of the protocol. */
    MALFORMED("malformed"),
    /** A frame has a type that this side does not accept, or an unknown type. */
    UNEXPECTED("unexpected"),
    /** The peer uses another version of the protocol. */
    PROTOCOL_VERSION("protocol-version"),
    /** The peer did not send a hello frame in time. */
    NO_HELLO("no-hello"),
    /** A frame did not arrive completely in time. */
    INCOMPLETE("incomplete"),
    /** The connection was not used for a long time. */
    IDLE("idle"),
    /** The maximum number of connections is open. */
    TOO_MANY_CONNECTIONS("too-many-connections"),
    /** Incompletely received frames use too much memory. */
    TOO_MUCH_PENDING("too-much-pending"),
    /** The peer does not read the results sent to it. */
    NOT_READ("not-read"),
    /** A call arrived after its deadline or so late that its sender may have given up. */
    STALE("stale"),
    /** This process was paused, so data buffered in the connection is old. */
    PAUSED("paused"),
    /** A result has the number of another call. */
    WRONG_NUMBER("wrong-number"),
    /** The length of a body differs from the announced length. */
    WRONG_LENGTH("wrong-length"),
    /** A control message has an unknown subject. */
    UNKNOWN_SUBJECT("unknown-subject"),
    /** The payload of a control message is not a valid message of its subject. */
    MALFORMED_CONTROL("malformed-control"),
    /** A call was refused because the ledger holds the maximum number of calls or of bytes of their requests. */
    LEDGER_FULL("ledger-full"),
    /** A call handler or control receiver of this node threw an exception. */
    HANDLER_FAILED("handler-failed"),
    /** A call arrived after a query or cancellation had revoked it and was not run. */
    REVOKED("revoked");

    private final String label;

    Refusal(final String label) {
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
