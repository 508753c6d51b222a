package org.sequoiashunt.gate;

import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;

/**
 * Restricts requests that have crashed targets, so that they do not crash further ones.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface CrashPolicy {

    /** Policy that admits every request. */
    CrashPolicy NONE = new CrashPolicy() {
        @Override
        public Admission admit(final CallRequest request) {
            return Admission.NORMAL;
        }

        @Override
        public void recordEnd(final CallRequest request, final CallResult result, final boolean ranAlone) {
            // Admission does not depend on earlier results.
        }
    };

    /**
     * Decides whether and how a request may run, before it is queued.
     *
     * @param request the request, not null.
     * @return how it may run, never null.
     */
    Admission admit(CallRequest request);

    /**
     * Records the result of a request that was dispatched to a target.
     *
     * @param request the request, not null.
     * @param result the result of the request, not null.
     * @param ranAlone whether no other request ran on the target at the same time.
     */
    void recordEnd(CallRequest request, CallResult result, boolean ranAlone);
}
