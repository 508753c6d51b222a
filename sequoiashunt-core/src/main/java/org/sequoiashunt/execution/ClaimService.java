package org.sequoiashunt.execution;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallResult;

/**
 * Decides whether a call with an idempotency key may be dispatched. Thread-safe; never blocks.
 */
public interface ClaimService {

    /**
     * Claims a key.
     *
     * @param service the service called, not null.
     * @param key the caller's key, not null.
     * @param attemptId identity of this attempt, unique, not null.
     * @param deadlineMs when the attempt ends, in milliseconds of the local clock.
     * @return completes with empty if the call may be dispatched now, or with the result to tell the caller: the
     *     recorded answer, or a refusal. A refusal never says {@code NOT_RUN}: an earlier call with the key may have
     *     run. Before dispatch, {@link #beginDispatch} must say that there is still time.
     */
    CompletableFuture<Optional<CallResult>> claim(String service, String key, String attemptId, long deadlineMs);

    /**
     * Begins the dispatch of a claimed call. Must be called directly before the first byte of the call leaves this
     * node, and again before a second dispatch of the same attempt, which is allowed only if the first one ended
     * {@code NOT_RUN}. It checks the time once more.
     *
     * @param service the service called, not null.
     * @param key the caller's key, not null.
     * @param attemptId identity of the attempt that was claimed, not null.
     * @return true if the call may be dispatched now; false if it must never be, and its caller is told
     *     {@code not-run}.
     */
    default boolean beginDispatch(final String service, final String key, final String attemptId) {
        return true;
    }

    /**
     * Records how a claimed call ended, so that a resend gets the same answer, or may run if this one did not and never
     * will. Must be called once for each call that was dispatched or given up after a claim. Best effort.
     *
     * @param service the service called, not null.
     * @param key the caller's key, not null.
     * @param attemptId identity of the attempt that held the claim, not null.
     * @param result how the call ended, not null.
     */
    void record(String service, String key, String attemptId, CallResult result);
}
