package org.sequoiashunt.slot;

import java.util.List;
import java.util.Optional;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallUrgency;

/** Creates call requests for tests. */
public final class CallRequests {

    private CallRequests() {}

    public static CallRequest of(final String callId, final CallUrgency urgency, final long deadlineMs) {
        return of(callId, "lookup", urgency, deadlineMs, true);
    }

    public static CallRequest of(
            final String callId,
            final String route,
            final CallUrgency urgency,
            final long deadlineMs,
            final boolean idempotent) {
        return new CallRequest(
                callId,
                "desk",
                route,
                "v1",
                "t-1",
                "GET",
                "/plates/1",
                List.of(),
                Body.EMPTY,
                idempotent,
                Optional.empty(),
                deadlineMs,
                urgency,
                false,
                "");
    }
}
