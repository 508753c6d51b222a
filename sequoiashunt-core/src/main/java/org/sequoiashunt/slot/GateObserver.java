package org.sequoiashunt.slot;

import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.target.TargetAnnouncement;

/** Receives the decisions of gates on calls. Implementations are thread-safe, never block and never throw. */
public interface GateObserver {

    /** Does nothing. */
    GateObserver NO_OP = new GateObserver() {

        @Override
        public void callAdmitted(
                final TargetAnnouncement target, final CallRequest request, final int running, final int waiting) {}

        @Override
        public void callRefused(final TargetAnnouncement target, final CallRequest request, final CallResult result) {}

        @Override
        public void callEnded(
                final TargetAnnouncement target,
                final CallRequest request,
                final CallResult result,
                final long durationMs) {}
    };

    /**
     * Called when a call was admitted: it starts, or waits for a slot.
     *
     * @param target the target, not null.
     * @param request the call, not null.
     * @param running the number of calls that run at the target.
     * @param waiting the number of calls that wait for a slot.
     */
    void callAdmitted(TargetAnnouncement target, CallRequest request, int running, int waiting);

    /**
     * Called when a call was refused before it was sent to the target.
     *
     * @param target the target, not null.
     * @param request the call, not null.
     * @param result the refusal with its reason, not null.
     */
    void callRefused(TargetAnnouncement target, CallRequest request, CallResult result);

    /**
     * Called when a call is refused because the target is cold; {@link #callRefused} follows.
     *
     * @param target the target, not null.
     * @param request the call, not null.
     */
    default void callExceedsWarmup(final TargetAnnouncement target, final CallRequest request) {}

    /**
     * Called when a call that was sent to the target has ended.
     *
     * @param target the target, not null.
     * @param request the call, not null.
     * @param result the result of the call, not null.
     * @param durationMs the time from sending the call to its end, in milliseconds.
     */
    void callEnded(TargetAnnouncement target, CallRequest request, CallResult result, long durationMs);
}
