package org.sequoiashunt.execution;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallResult;

/**
 * Decides whether a call with an idempotency key may be dispatched. Implementations are thread-safe and never block.
 */
public interface ClaimService {

    /**
     * Claims an idempotency key for one attempt of a call.
     *
     * @param service the service called, not null.
     * @param key the caller's idempotency key, not null.
     * @param attemptId identity of this attempt, unique over all nodes, not null.
     * @param deadlineMs when the attempt ends, in milliseconds of the local clock.
     * @return completes with empty if the call may be dispatched, provided that {@link #beginDispatch} then returns
     *     true;
     *     or with the result for the caller: the recorded answer or a refusal. A refusal never has the outcome
     *     {@code NOT_RUN}, since an earlier call with the key may have run.
     */
    CompletableFuture<Optional<CallResult>> claim(String service, String key, String attemptId, long deadlineMs);

    /**
     * Begins the dispatch of a claimed call, after checking that its latest time of dispatch has not passed. Must be
     * called directly before the first byte of the call leaves this node, and again before a second dispatch of the
     * same attempt, which is allowed only if the first one ended {@code NOT_RUN}.
     *
     * @param service the service called, not null.
     * @param key the caller's idempotency key, not null.
     * @param attemptId identity of the attempt that was claimed, not null.
     * @return true if the call may be dispatched now; false if it must never be dispatched and its caller gets
     *     {@code not-run}.
     */
    default boolean beginDispatch(final String service, final String key, final String attemptId) {
        return true;
    }

    /**
     * Records how a claimed call ended, so that a resend gets the same answer, or may run if the claimed call did not
     * run and never will. Must be called once for each call that was dispatched or given up after a claim. Delivery to
     * the guards is best effort.
     *
     * @param service the service called, not null.
     * @param key the caller's idempotency key, not null.
     * @param attemptId identity of the attempt that held the claim, not null.
     * @param result how the call ended, not null.
     */
    void record(String service, String key, String attemptId, CallResult result);
}
