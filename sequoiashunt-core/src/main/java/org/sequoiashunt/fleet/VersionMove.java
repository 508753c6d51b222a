package org.sequoiashunt.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.sequoiashunt.store.StoreRevision;

/**
 * A move of a service's traffic to another version: the operator's order, its state and share, and the outcomes of
 * earlier moves. Every node passes moves on with its reports, so that any node can carry a move on from what it has.
 *
 * <p>{@link #merge} is commutative, associative and idempotent except for the elapsed time, which only grows: nodes
 * that have received the same values in any order hold the same value.
 *
 * <p>After the store was restored from an older copy, one order may appear under two revisions: under its own one in
 * the new era if the copy holds it, and under a later one if the operator wrote it again. Both count as the same order,
 * so that a move that has ended is not run a second time.
 *
 * <p>Immutable and thread-safe. Invariant: the share is from 0 to 1,000.
 *
 * @param service the service.
 * @param version the version that receives the traffic.
 * @param order the store revision of the operator's request; a later request replaces an earlier one.
 * @param state the state of the move.
 * @param sharePermille the share of the traffic for the new version while the move runs, in thousandths.
 * @param durationMs the time within which the move has to complete, in milliseconds, zero if it is not known.
 * @param elapsedMs the time since the request when this value was made, in milliseconds, zero or more.
 * @param recorded whether the platform's store holds this state, which is final if it is terminal.
 * @param verdicts the outcomes of earlier moves, at most {@value #MAXIMUM_VERDICTS}, one for each version; for the
 *     version of this move, the latest former revision of the order if the store was restored and the order repeated.
 */
public record VersionMove(
        String service,
        String version,
        long order,
        MoveState state,
        int sharePermille,
        long durationMs,
        long elapsedMs,
        boolean recorded,
        List<VersionVerdict> verdicts) {

    /** More versions than have targets at a time. */
    private static final int MAXIMUM_VERDICTS = 8;

    private static final int MAXIMUM_SHARE_PERMILLE = 1_000;

    /** Order of the values of one move: a recorded outcome first, then outcomes, then a roll-back. */
    private static final Comparator<VersionMove> PRECEDENCE = Comparator.<VersionMove, Boolean>comparing(
                    move -> move.recorded && move.state.isTerminal())
            .thenComparing(VersionMove::state);

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the share is out of range or a time is negative.
     */
    public VersionMove {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(state, "state");
        verdicts = List.copyOf(verdicts);
        if (sharePermille < 0 || sharePermille > MAXIMUM_SHARE_PERMILLE) {
            throw new IllegalArgumentException("sharePermille out of range: " + sharePermille);
        }
        if (durationMs < 0 || elapsedMs < 0) {
            throw new IllegalArgumentException("times must not be negative: " + durationMs + ", " + elapsedMs);
        }
    }

    /**
     * Creates a move that is not recorded, without a duration, an elapsed time and earlier verdicts.
     *
     * @param service the service, not null.
     * @param version the version that receives the traffic, not null.
     * @param order the store revision of the operator's request.
     * @param state the state, not null.
     * @param sharePermille the share in thousandths.
     * @return the move, never null.
     * @throws IllegalArgumentException if the share is out of range.
     */
    public static VersionMove of(
            final String service,
            final String version,
            final long order,
            final MoveState state,
            final int sharePermille) {
        return new VersionMove(service, version, order, state, sharePermille, 0, 0, false, List.of());
    }

    /**
     * Returns a copy with another duration.
     *
     * @param newDurationMs the duration in milliseconds, zero if it is not known.
     * @return the copy, never null.
     */
    public VersionMove withDuration(final long newDurationMs) {
        return new VersionMove(
                service, version, order, state, sharePermille, newDurationMs, elapsedMs, recorded, verdicts);
    }

    /**
     * Returns a copy with another elapsed time.
     *
     * @param newElapsedMs the time since the request, in milliseconds.
     * @return the copy, never null.
     */
    public VersionMove withElapsed(final long newElapsedMs) {
        return new VersionMove(
                service, version, order, state, sharePermille, durationMs, newElapsedMs, recorded, verdicts);
    }

    /**
     * Returns a copy with other verdicts.
     *
     * @param newVerdicts the outcomes of earlier moves, not null.
     * @return the copy, never null.
     */
    public VersionMove withVerdicts(final List<VersionVerdict> newVerdicts) {
        return new VersionMove(
                service, version, order, state, sharePermille, durationMs, elapsedMs, recorded, newVerdicts);
    }

    /**
     * Returns a copy whose state is recorded.
     *
     * @return the copy, never null.
     */
    public VersionMove asRecorded() {
        return new VersionMove(service, version, order, state, sharePermille, durationMs, elapsedMs, true, verdicts);
    }

    /**
     * Returns a copy with the next state and share. A new state is not recorded yet.
     *
     * @param nextState the state, not null.
     * @param nextSharePermille the share in thousandths.
     * @return the copy, never null.
     */
    public VersionMove next(final MoveState nextState, final int nextSharePermille) {
        return new VersionMove(
                service,
                version,
                order,
                nextState,
                nextSharePermille,
                durationMs,
                elapsedMs,
                recorded && nextState == state,
                verdicts);
    }

    /**
     * Merges this value with another one of the same service. The later request takes precedence; the outcome of the
     * earlier one is kept as a verdict. Of one move, a recorded outcome takes precedence, then an outcome that is not
     * recorded, a roll-back before a completion, then the greater share.
     *
     * @param other the other value, of the same service, not null.
     * @return the merged value, never null.
     */
    public VersionMove merge(final VersionMove other) {
        if (order == other.order) {
            return mergeSameOrder(other, order);
        }
        VersionMove later = order > other.order ? this : other;
        VersionMove earlier = order > other.order ? other : this;
        if (earlier.hasReplaced(later)) {
            return earlier.withVerdicts(earlier.mergeVerdicts(later, false));
        }
        if (later.repeats(earlier)) {
            return isSameRevision(later.order, earlier.order)
                    ? mergeSameOrder(other, earlier.order)
                    : mergeSameOrder(other, later.order).withFormerOrder(earlier.order);
        }
        return later.withVerdicts(later.mergeVerdicts(earlier, true));
    }

    private VersionMove mergeSameOrder(final VersionMove other, final long mergedOrder) {
        int precedence = PRECEDENCE.compare(this, other);
        VersionMove first = precedence >= 0 ? this : other;
        boolean sameState = precedence == 0;
        return new VersionMove(
                service,
                first.version,
                mergedOrder,
                first.state,
                sameState ? Math.max(sharePermille, other.sharePermille) : first.sharePermille,
                Math.max(durationMs, other.durationMs),
                Math.max(elapsedMs, other.elapsedMs),
                isRecordedAs(first.state, mergedOrder) || other.isRecordedAs(first.state, mergedOrder),
                mergeVerdicts(other, false));
    }

    /**
     * Remembers the revision that this order had before it was repeated, since a further restore may show it again. It
     * changes no outcome: the verdict on an earlier move to the same version is kept.
     */
    private VersionMove withFormerOrder(final long formerOrder) {
        boolean rolledBack =
                verdicts.stream().anyMatch(verdict -> verdict.version().equals(version) && verdict.rolledBack());
        VersionVerdict former = new VersionVerdict(version, formerOrder, rolledBack);
        return withVerdicts(mergeVerdicts(withVerdicts(List.of(former)), false));
    }

    /** The record names the order, so that a state is recorded again if the order has got another revision. */
    private boolean isRecordedAs(final MoveState mergedState, final long mergedOrder) {
        return recorded && state == mergedState && order == mergedOrder;
    }

    /** Returns whether this move has the order of an earlier era, as the restored store holds or got it again. */
    private boolean repeats(final VersionMove earlier) {
        return StoreRevision.eraOf(order) > StoreRevision.eraOf(earlier.order)
                && version.equals(earlier.version)
                && (durationMs == earlier.durationMs || durationMs == 0 || earlier.durationMs == 0)
                && verdicts.stream()
                        .noneMatch(verdict -> verdict.version().equals(version) && verdict.order() > earlier.order);
    }

    /**
     * Returns whether a move is an order that this one replaced, or its own under a former revision, before the store
     * was restored to it. Within an era, a later order is always new.
     */
    private boolean hasReplaced(final VersionMove restored) {
        return StoreRevision.eraOf(order) < StoreRevision.eraOf(restored.order)
                && verdicts.stream()
                        .anyMatch(verdict -> verdict.version().equals(restored.version)
                                && StoreRevision.eraOf(verdict.order()) < StoreRevision.eraOf(restored.order)
                                && isSameRevision(verdict.order(), restored.order));
    }

    private static boolean isSameRevision(final long first, final long second) {
        return StoreRevision.revisionOf(first) == StoreRevision.revisionOf(second);
    }

    /**
     * Returns whether an order is that of this move, so that the move continues or has ended already.
     *
     * @param ordered a move with the order, of the same service, not null.
     * @return true if the order starts no other move.
     */
    public boolean continuesWith(final VersionMove ordered) {
        return ordered.order <= order || hasReplaced(ordered) || ordered.repeats(this);
    }

    /**
     * Returns whether this recorded move must not be overwritten by another one: it belongs to a later order, or it is
     * an outcome or the same state of the same order.
     *
     * @param other the move to record, of the same service, not null.
     * @return true if this record stays.
     */
    public boolean prevailsOver(final VersionMove other) {
        if (order == other.order) {
            return state.isTerminal() || state == other.state;
        }
        VersionMove merged = merge(other);
        return merged.order == order || other.repeats(this) && state.isTerminal() && state != other.state;
    }

    private List<VersionVerdict> mergeVerdicts(final VersionMove other, final boolean withOutcomeOfOther) {
        Map<String, VersionVerdict> latest = new TreeMap<>();
        verdicts.forEach(verdict -> putLatest(latest, verdict));
        other.verdicts.forEach(verdict -> putLatest(latest, verdict));
        if (withOutcomeOfOther && other.state.isTerminal()) {
            putLatest(latest, new VersionVerdict(other.version, other.order, other.state == MoveState.ROLLED_BACK));
        }
        return latest.values().stream()
                .sorted(Comparator.comparingLong(VersionVerdict::order)
                        .reversed()
                        .thenComparing(VersionVerdict::version))
                .limit(MAXIMUM_VERDICTS)
                .toList();
    }

    private static void putLatest(final Map<String, VersionVerdict> latest, final VersionVerdict verdict) {
        latest.merge(
                verdict.version(), verdict, (known, additional) -> additional.supersedes(known) ? additional : known);
    }

    /**
     * Returns whether the targets of a version must get no requests: it was rolled back by this move, or by an earlier
     * one and is not the version of this move.
     *
     * @param candidate the version, not null.
     * @return true if the version is excluded.
     */
    public boolean excludes(final String candidate) {
        if (candidate.equals(version)) {
            return state == MoveState.ROLLED_BACK;
        }
        return verdicts.stream()
                .anyMatch(verdict -> verdict.rolledBack() && verdict.version().equals(candidate));
    }
}
