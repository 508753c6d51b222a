package org.sequoiashunt.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.time.Clock;

/**
 * Selects a target among candidates: the nearest locality first, then the less loaded of two random candidates.
 *
 * <p>Call {@link #select} for each attempt, then {@link #recordStart} and {@link #recordEnd}. Targets that fail several
 * times in a row are ejected temporarily. If more than half of the candidates are ejected, ejections are ignored, so
 * that a service whose targets all fail keeps its targets. The share of a new target grows over a ramp period.
 *
 * <p>Thread-safe; statistics are kept per target, each under its own lock. The random source must be thread-safe.
 */
public final class TargetSelector {

    /** Time after its last use at which {@link #evictUnused} removes a target's statistics. */
    private static final long STATISTICS_RETENTION_MS = 600_000;

    private final String failureDomain;
    private final String region;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<String, TargetStatistics> statistics = new ConcurrentHashMap<>();

    /**
     * Creates a selector for the entry of one node.
     *
     * @param failureDomain the failure domain of the entry's node, not null.
     * @param region the region of the entry's node, not null.
     * @param clock the clock, not null.
     * @param random a thread-safe random source, not null.
     */
    public TargetSelector(
            final String failureDomain, final String region, final Clock clock, final RandomGenerator random) {
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
        this.region = Objects.requireNonNull(region, "region");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Selects a target.
     *
     * @param candidates the targets that accept requests, not null.
     * @param excluded the identities of targets that already refused this request, not null.
     * @return the target, or empty if no candidate is left.
     */
    public Optional<Candidate> select(final List<Candidate> candidates, final Set<String> excluded) {
        Objects.requireNonNull(candidates, "candidates");
        Objects.requireNonNull(excluded, "excluded");
        long nowMs = clock.nowMs();
        createMissingStatistics(candidates, nowMs);
        List<Candidate> remaining = candidates.stream()
                .filter(candidate -> !excluded.contains(candidate.identity()))
                .toList();
        List<Candidate> usable = excludeEjected(remaining, nowMs);
        List<Candidate> nearest = nearestAvailable(usable, nowMs);
        return nearest.isEmpty() ? Optional.empty() : Optional.of(lessLoadedOfTwo(nearest, nowMs));
    }

    /**
     * Records that a call was sent to a target.
     *
     * @param candidate the target, not null.
     */
    public void recordStart(final Candidate candidate) {
        long nowMs = clock.nowMs();
        statisticsOf(candidate, nowMs).recordStart(nowMs);
    }

    /**
     * Records the end of a call. Must be called once for each {@link #recordStart}.
     *
     * @param candidate the target, not null.
     * @param result the result of the call, not null.
     */
    public void recordEnd(final Candidate candidate, final CallResult result) {
        long nowMs = clock.nowMs();
        statisticsOf(candidate, nowMs).recordEnd(result, nowMs);
    }

    /** Removes the statistics of targets that were not used for 10 minutes. Must be called periodically. */
    public void evictUnused() {
        long limitMs = clock.nowMs() - STATISTICS_RETENTION_MS;
        statistics.values().removeIf(entry -> entry.isUnusedSince(limitMs));
    }

    /**
     * Counts the targets that are currently ejected.
     *
     * @return the number of ejected targets.
     */
    public long ejectedCount() {
        long nowMs = clock.nowMs();
        return statistics.values().stream()
                .filter(entry -> entry.isEjected(nowMs))
                .count();
    }

    /** If this entry has statistics of none of the candidates, the entry itself is new: the targets get no ramp. */
    private void createMissingStatistics(final List<Candidate> candidates, final long nowMs) {
        boolean allNew = candidates.stream().noneMatch(candidate -> statistics.containsKey(candidate.identity()));
        long firstSeenMs = allNew ? nowMs - TargetStatistics.RAMP_MS : nowMs;
        candidates.forEach(candidate -> statisticsOf(candidate, firstSeenMs));
    }

    private List<Candidate> excludeEjected(final List<Candidate> candidates, final long nowMs) {
        List<Candidate> notEjected = candidates.stream()
                .filter(candidate -> !statisticsOf(candidate, nowMs).isEjected(nowMs))
                .toList();
        boolean tooManyEjected = notEjected.size() * 2 < candidates.size();
        return tooManyEjected ? candidates : notEjected;
    }

    /** If the failure domain has no spare slot, its region is used; other regions only if that region has no target. */
    private List<Candidate> nearestAvailable(final List<Candidate> candidates, final long nowMs) {
        List<Candidate> sameDomain = withinLocality(candidates, Locality.FAILURE_DOMAIN);
        boolean hasSpareSlot = sameDomain.stream()
                .anyMatch(candidate -> statisticsOf(candidate, nowMs).hasSpareSlot(candidate.slots(), nowMs));
        if (hasSpareSlot) {
            return sameDomain;
        }
        List<Candidate> sameRegion = withinLocality(candidates, Locality.REGION);
        return sameRegion.isEmpty() ? candidates : sameRegion;
    }

    private List<Candidate> withinLocality(final List<Candidate> candidates, final Locality farthest) {
        List<Candidate> selected = new ArrayList<>(candidates.size());
        for (Candidate candidate : candidates) {
            if (Locality.of(failureDomain, region, candidate).compareTo(farthest) <= 0) {
                selected.add(candidate);
            }
        }
        return selected;
    }

    private Candidate lessLoadedOfTwo(final List<Candidate> candidates, final long nowMs) {
        Candidate first = candidates.get(random.nextInt(candidates.size()));
        Candidate second = candidates.get(random.nextInt(candidates.size()));
        double firstScore = statisticsOf(first, nowMs).score(first.slots(), nowMs);
        double secondScore = statisticsOf(second, nowMs).score(second.slots(), nowMs);
        return firstScore <= secondScore ? first : second;
    }

    private TargetStatistics statisticsOf(final Candidate candidate, final long firstSeenMs) {
        return statistics.computeIfAbsent(candidate.identity(), identity -> new TargetStatistics(firstSeenMs));
    }
}
