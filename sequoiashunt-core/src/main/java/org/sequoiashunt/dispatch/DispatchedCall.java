package org.sequoiashunt.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.dispatch.CallDispatcher.Dependencies;
import org.sequoiashunt.execution.CrashTracker;
import org.sequoiashunt.limit.RetryBudget;
import org.sequoiashunt.routing.Candidate;
import org.sequoiashunt.routing.RoutingTable.RouteMatch;

/**
 * Executes one request: claims its key if required and makes the attempts.
 *
 * <p>Thread-safe: attempts follow one another, and what they share is guarded by this object's monitor. Invariants: at
 * most one attempt runs at a time; no attempt starts after the deadline or after the caller gave up; the worst outcome
 * of any attempt is never hidden by a later {@link Outcome#NOT_RUN}.
 */
final class DispatchedCall {

    /** Maximum number of attempts of one call, including the first. */
    private static final int MAXIMUM_ATTEMPTS = 3;

    private final Dependencies dependencies;
    private final RetryBudget retryBudget;
    private final IncomingCall call;
    private final RouteMatch match;
    private final long deadlineMs;
    private final List<String> versions;
    private final String claimId;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final Set<String> attemptedTargets = new HashSet<>();
    private CompletableFuture<?> currentAttempt = CompletableFuture.completedFuture(null);
    private Outcome worstOutcome = Outcome.NOT_RUN;
    private int attempts;
    private volatile List<HeaderField> headers;

    DispatchedCall(
            final Dependencies dependencies,
            final RetryBudget retryBudget,
            final IncomingCall call,
            final RouteMatch match,
            final long deadlineMs) {
        this.dependencies = dependencies;
        this.retryBudget = retryBudget;
        this.call = call;
        this.match = match;
        this.deadlineMs = deadlineMs;
        this.versions = dependencies.versions().selectVersions(match.service());
        this.headers = call.headers();
        this.claimId = dependencies.callIds().next();
    }

    CompletableFuture<CallResult> start() {
        result.whenComplete((ended, failure) -> {
            if (result.isCancelled()) {
                cancelAttempt();
            }
        });
        if (needsClaim()) {
            claim();
        } else {
            attempt();
        }
        return result;
    }

    private boolean needsClaim() {
        return !match.route().idempotent() && call.key().isPresent();
    }

    private void claim() {
        CompletableFuture<Optional<CallResult>> claimed = dependencies
                .claims()
                .claim(match.service().service(), call.key().orElseThrow(), claimId, deadlineMs);
        claimed.whenComplete((refusal, failure) -> {
            if (failure != null) {
                finish(CallResult.unknown(Reason.CLAIM_UNAVAILABLE));
            } else if (refusal.isPresent()) {
                result.complete(refusal.get());
            } else {
                attempt();
            }
        });
    }

    private void attempt() {
        if (result.isDone()) {
            finish(CallResult.notRun(Reason.CANCELLED));
            return;
        }
        if (dependencies.clock().nowMs() >= deadlineMs) {
            finish(CallResult.notRun(Reason.DEADLINE));
            return;
        }
        Optional<Candidate> selected = select();
        if (selected.isEmpty()) {
            finish(CallResult.notRun(Reason.NO_TARGET));
            return;
        }
        if (needsClaim() && !beginDispatch()) {
            finish(CallResult.notRun(Reason.DEADLINE));
            return;
        }
        send(selected.get());
    }

    private boolean beginDispatch() {
        return dependencies
                .claims()
                .beginDispatch(match.service().service(), call.key().orElseThrow(), claimId);
    }

    private Optional<Candidate> select() {
        String service = match.service().service();
        for (String version : versions) {
            List<Candidate> candidates = dependencies.candidates().candidates(service, version);
            Optional<Candidate> selected = dependencies.selector().select(candidates, attemptedTargetsSnapshot());
            if (selected.isPresent()) {
                return selected;
            }
        }
        return Optional.empty();
    }

    private void send(final Candidate candidate) {
        CallRequest request = request(candidate);
        long startedMs = dependencies.clock().nowMs();
        dependencies.selector().recordStart(candidate);
        CompletableFuture<CallResult> sent = dependencies.gates().call(candidate.gateAddress(), request);
        synchronized (this) {
            attempts++;
            currentAttempt = sent;
        }
        if (result.isCancelled()) {
            sent.cancel(true);
        }
        sent.whenComplete((ended, failure) -> {
            CallResult attemptResult = failure == null ? ended : CallResult.unknown(Reason.CANCELLED);
            long durationMs = Math.max(0, dependencies.clock().nowMs() - startedMs);
            dependencies.selector().recordEnd(candidate, attemptResult);
            dependencies.observer().attemptEnded(candidate, request, attemptResult, durationMs);
            retryOrFinish(candidate, request, attemptResult);
        });
    }

    private CallRequest request(final Candidate candidate) {
        return new CallRequest(
                dependencies.callIds().next(),
                match.service().service(),
                match.route().name(),
                candidate.targetVersion(),
                candidate.target(),
                call.method(),
                call.uri(),
                headers,
                call.body(),
                match.route().idempotent(),
                call.key(),
                deadlineMs);
    }

    private void retryOrFinish(final Candidate candidate, final CallRequest request, final CallResult ended) {
        Optional<List<HeaderField>> nextHeaders = CrashTracker.retryHeaders(request, ended);
        synchronized (this) {
            attemptedTargets.add(candidate.identity());
            if (ended.outcome() == Outcome.UNKNOWN) {
                worstOutcome = Outcome.UNKNOWN;
            }
        }
        if (nextHeaders.isPresent() && mayRetry(ended)) {
            headers = nextHeaders.get();
            attempt();
        } else {
            finish(ended);
        }
    }

    private boolean mayRetry(final CallResult ended) {
        synchronized (this) {
            if (attempts >= MAXIMUM_ATTEMPTS) {
                return false;
            }
        }
        return ended.reason().isTransient()
                && ended.outcome().permitsRetry(match.route().idempotent())
                && !result.isDone()
                && dependencies.clock().nowMs() < deadlineMs
                && retryBudget.tryRetry();
    }

    private void finish(final CallResult ended) {
        CallResult finalResult = preserveUnknownOutcome(ended);
        if (needsClaim()) {
            dependencies.claims().record(match.service().service(), call.key().orElseThrow(), claimId, finalResult);
        }
        result.complete(needsClaim() ? deadlineAsUnknown(finalResult) : finalResult);
    }

    /** A call past its deadline may have lost its claim to another attempt, which may have run. */
    private static CallResult deadlineAsUnknown(final CallResult ended) {
        boolean late = ended.outcome() == Outcome.NOT_RUN && ended.reason() == Reason.DEADLINE;
        return late ? CallResult.unknown(Reason.DEADLINE) : ended;
    }

    /** A later refusal does not undo an earlier attempt that may have run. */
    private synchronized CallResult preserveUnknownOutcome(final CallResult ended) {
        boolean hidden = ended.outcome() == Outcome.NOT_RUN && worstOutcome == Outcome.UNKNOWN;
        return hidden ? CallResult.unknown(ended.reason()) : ended;
    }

    private synchronized Set<String> attemptedTargetsSnapshot() {
        return Set.copyOf(attemptedTargets);
    }

    private void cancelAttempt() {
        CompletableFuture<?> current;
        synchronized (this) {
            current = currentAttempt;
        }
        current.cancel(true);
    }
}
