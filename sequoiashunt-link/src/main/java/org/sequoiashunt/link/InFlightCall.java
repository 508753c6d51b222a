package org.sequoiashunt.link;

import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;

/**
 * A call on the sending side: its request, its future, and whether it was sent or lost. The mutable fields are guarded
 * by the lock of the {@link InFlightCalls} that contains the call.
 */
final class InFlightCall {

    private static final long NOT_LOST = -1;

    private final long number;
    private final CallRequest request;
    private final CompletableFuture<CallResult> future;
    private final long addedMs;
    private LinkIdentity sentTo;
    private long lostMs = NOT_LOST;
    private boolean withdrawn;
    private boolean queried;

    InFlightCall(
            final long number,
            final CallRequest request,
            final CompletableFuture<CallResult> future,
            final long addedMs) {
        this.number = number;
        this.request = request;
        this.future = future;
        this.addedMs = addedMs;
    }

    long number() {
        return number;
    }

    CallRequest request() {
        return request;
    }

    CompletableFuture<CallResult> future() {
        return future;
    }

    boolean isSent() {
        return sentTo != null;
    }

    boolean isLost() {
        return lostMs != NOT_LOST;
    }

    LinkIdentity sentTo() {
        return sentTo;
    }

    void markSent(final LinkIdentity peer) {
        sentTo = peer;
    }

    void markLost(final long nowMs) {
        queried = false;
        if (isSent() && !isLost()) {
            lostMs = nowMs;
        }
    }

    void markQueried() {
        queried = true;
    }

    /** Returns whether the state of the call was queried on the current connection. */
    boolean isQueried() {
        return queried;
    }

    void markResumed() {
        lostMs = NOT_LOST;
    }

    void markWithdrawn() {
        withdrawn = true;
    }

    /** Returns whether the caller wants the call to end unless the gate has sent it to its target. */
    boolean isWithdrawn() {
        return withdrawn;
    }

    boolean isUnsentFor(final long limitMs, final long nowMs) {
        return !isSent() && nowMs - addedMs >= limitMs;
    }

    boolean isLostFor(final long limitMs, final long nowMs) {
        return isLost() && nowMs - lostMs >= limitMs;
    }
}
