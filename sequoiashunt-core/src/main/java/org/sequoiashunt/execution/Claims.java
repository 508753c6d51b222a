package org.sequoiashunt.execution;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallResult;

/**
 * Decides whether a call with an idempotency key may be dispatched. Thread-safe; never blocks.
 */
public interface Claims {

    /**
     * Claims a key.
     *
     * @param service the service called, not null.
     * @param key the caller's key, not null.
     * @param attempt identity of this attempt, unique, not null.
     * @param deadlineMs when the attempt ends, in milliseconds of the local clock.
     * @return completes with empty if the call may be dispatched now, or with the result to tell the caller: the
     *     recorded answer, or a refusal. The caller must check the deadline again before it dispatches.
     */
    CompletableFuture<Optional<CallResult>> claim(String service, String key, String attempt, long deadlineMs);

    /**
     * Records how a claimed call ended, so that a resend gets the same answer. Best effort.
     *
     * @param service the service called, not null.
     * @param key the caller's key, not null.
     * @param attempt identity of the attempt that held the claim, not null.
     * @param result how the call ended, not null.
     */
    void record(String service, String key, String attempt, CallResult result);
}
