package org.sequoiashunt.link;

import java.util.Optional;
import org.sequoiashunt.call.CallResult;

/**
 * What is known about a call that was asked after. Immutable and thread-safe.
 *
 * @param state the state.
 * @param result how the call ended, present exactly if it is done.
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
        /** The call has ended and its result is at hand. */
        DONE,
        /** The call may have run and its result is not at hand. */
        LOST
    }
}
