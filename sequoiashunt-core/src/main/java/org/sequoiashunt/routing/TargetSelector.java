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
 * Selects a target among candidates: nearest first, then the less loaded of two picked at random.
 *
 * <p>Call {@link #select} for each attempt, then {@link #started} and {@link #ended}. Targets that fail several times
 * in a row are left out for a while, but never more than half of the candidates, so that a service whose targets all
 * fail is not emptied. A target seen for the first time gets a growing share.
 *
 * <p>Thread-safe; statistics are kept per target, each under its own lock. The random source must be thread-safe.
 */
public final class TargetSelector {

    /** Statistics of a target that was not used for this long are dropped. */
    private static final long RETENTION_MS = 600_000;

    private final String failureDomain;
    private final String region;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<String, TargetStatistics> statistics = new ConcurrentHashMap<>();

    /**
     * Creates a selector for one entry.
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
     * @param candidates the targets that take work, not null.
     * @param excluded identities of targets that refused this request before, not null.
     * @return the target, or empty if no candidate is left.
     */
    public Optional<Candidate> select(final List<Candidate> candidates, final Set<String> excluded) {
        Objects.requireNonNull(candidates, "candidates");
        Objects.requireNonNull(excluded, "excluded");
        long nowMs = clock.nowMs();
        takeInUnknown(candidates, nowMs);
        List<Candidate> remaining = candidates.stream()
                .filter(candidate -> !excluded.contains(candidate.identity()))
                .toList();
        List<Candidate> usable = withoutEjected(remaining, nowMs);
        List<Candidate> nearest = nearestWithSpareSlot(usable, nowMs);
        return nearest.isEmpty() ? Optional.empty() : Optional.of(lessLoadedOfTwo(nearest, nowMs));
    }

    /**
     * Records that a call was sent to a target.
     *
     * @param candidate the target, not null.
     */
    public void started(final Candidate candidate) {
        long nowMs = clock.nowMs();
        statisticsOf(candidate, nowMs).started(nowMs);
    }

    /**
     * Records how a call ended. Must follow each {@link #started}.
     *
     * @param candidate the target, not null.
     * @param result how the call ended, not null.
     */
    public void ended(final Candidate candidate, final CallResult result) {
        long nowMs = clock.nowMs();
        statisticsOf(candidate, nowMs).ended(result, nowMs);
    }

    /** Drops the statistics of targets that were not used for a long time. To be called from time to time. */
    public void evict() {
        long limitMs = clock.nowMs() - RETENTION_MS;
        statistics.values().removeIf(entry -> entry.isUnusedSince(limitMs));
    }

    /**
     * Counts the targets left out at present.
     *
     * @return the number of ejected targets.
     */
    public long ejectedCount() {
        long nowMs = clock.nowMs();
        return statistics.values().stream()
                .filter(entry -> entry.isEjected(nowMs))
                .count();
    }

    /** Targets that are all new to this entry are taken as warm: it is the entry that is new. */
    private void takeInUnknown(final List<Candidate> candidates, final long nowMs) {
        boolean noneKnown = candidates.stream().noneMatch(candidate -> statistics.containsKey(candidate.identity()));
        long firstSeenMs = noneKnown ? nowMs - TargetStatistics.RAMP_MS : nowMs;
        candidates.forEach(candidate -> statisticsOf(candidate, firstSeenMs));
    }

    private List<Candidate> withoutEjected(final List<Candidate> candidates, final long nowMs) {
        List<Candidate> healthy = candidates.stream()
                .filter(candidate -> !statisticsOf(candidate, nowMs).isEjected(nowMs))
                .toList();
        boolean tooManyEjected = healthy.size() * 2 < candidates.size();
        return tooManyEjected ? candidates : healthy;
    }

    /** A full failure domain spills over to its region; another region is used only when its own has no target. */
    private List<Candidate> nearestWithSpareSlot(final List<Candidate> candidates, final long nowMs) {
        List<Candidate> near = within(candidates, Locality.FAILURE_DOMAIN);
        boolean spare = near.stream()
                .anyMatch(candidate -> statisticsOf(candidate, nowMs).hasSpareSlot(candidate.slots(), nowMs));
        if (spare) {
            return near;
        }
        List<Candidate> regional = within(candidates, Locality.REGION);
        return regional.isEmpty() ? candidates : regional;
    }

    private List<Candidate> within(final List<Candidate> candidates, final Locality limit) {
        List<Candidate> selected = new ArrayList<>(candidates.size());
        for (Candidate candidate : candidates) {
            if (Locality.of(failureDomain, region, candidate).compareTo(limit) <= 0) {
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
