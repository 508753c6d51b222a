package org.sequoiashunt.link;

import java.util.Optional;
import org.sequoiashunt.call.CallResult;

/**
 * Answer of the {@link CallLedger} to a query for a call. Immutable and thread-safe.
 *
 * @param state the state of the call.
 * @param result the result, present exactly if the state is {@link State#DONE}.
 */
record CallStatus(State state, Optional<CallResult> result) {

    static CallStatus of(final State state) {
        return new CallStatus(state, Optional.empty());
    }

    static CallStatus done(final CallResult result) {
        return new CallStatus(State.DONE, Optional.of(result));
    }

    /** State of a call. Immutable and thread-safe. */
    enum State {
        /** The call did not arrive and is never run. */
        NOT_RECEIVED,
        /** The call is running. */
        RUNNING,
        /** The call has ended and its result is retained. */
        DONE,
        /** The call may have run and its result is not available. */
        LOST
    }
}
