package org.sequoiashunt.gate;

import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;

/**
 * Keeps requests that crash targets from doing so again. Implementations are thread-safe and do not block.
 */
public interface CrashPolicy {

    /** Policy that admits every request. */
    CrashPolicy NONE = new CrashPolicy() {
        @Override
        public Admission admit(final CallRequest request) {
            return Admission.NORMAL;
        }

        @Override
        public void ended(final CallRequest request, final CallResult result, final boolean ranAlone) {
            // Nothing to remember.
        }
    };

    /**
     * Decides about a request before it is queued.
     *
     * @param request the request, not null.
     * @return how it may run, never null.
     */
    Admission admit(CallRequest request);

    /**
     * Records how a request ended that was dispatched to a target.
     *
     * @param request the request, not null.
     * @param result how it ended, not null.
     * @param ranAlone whether nothing else ran on the target meanwhile.
     */
    void ended(CallRequest request, CallResult result, boolean ranAlone);
}
