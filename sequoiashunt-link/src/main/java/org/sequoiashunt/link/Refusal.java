package org.sequoiashunt.link;

/** Why a frame was refused or a connection closed. Immutable and thread-safe. */
public enum Refusal {
    /** A frame is longer than the bound. */
    OVERSIZED("oversized"),
    /** A frame is not a message of the protocol. */
    MALFORMED("malformed"),
    /** A frame is of a type that this side does not expect, or of no known type. */
    UNEXPECTED("unexpected"),
    /** The peer speaks another version of the protocol. */
    PROTOCOL_VERSION("protocol-version"),
    /** The peer did not introduce itself in time. */
    NO_HELLO("no-hello"),
    /** A frame did not end in time. */
    INCOMPLETE("incomplete"),
    /** The connection was not used for a long time. */
    IDLE("idle"),
    /** There are too many connections. */
    TOO_MANY_CONNECTIONS("too-many-connections"),
    /** Incomplete frames take up too much memory. */
    TOO_MUCH_PENDING("too-much-pending"),
    /** The peer does not read what is sent to it. */
    NOT_READ("not-read"),
    /** A call reached this node so late that its sender may have given up. */
    STALE("stale"),
    /** This process was not running for a while, so what the connection still holds is old. */
    PAUSED("paused"),
    /** An answer carries the number of another call. */
    WRONG_NUMBER("wrong-number"),
    /** A body is not as long as announced. */
    WRONG_LENGTH("wrong-length"),
    /** A control message is of no known subject. */
    UNKNOWN_SUBJECT("unknown-subject"),
    /** A control message does not fit its subject. */
    MALFORMED_CONTROL("malformed-control"),
    /** A call was not taken because too many are remembered. */
    LEDGER_FULL("ledger-full"),
    /** A handler of this node failed. */
    HANDLER_FAILED("handler-failed"),
    /** A call was not run because its sender had been told that it never will be. */
    REVOKED("revoked");

    private final String label;

    Refusal(final String label) {
        this.label = label;
    }

    /**
     * Returns the name used on metrics pages.
     *
     * @return the name, never null.
     */
    public String label() {
        return label;
    }
}
