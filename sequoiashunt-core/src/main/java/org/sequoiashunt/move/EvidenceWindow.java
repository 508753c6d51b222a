package org.sequoiashunt.move;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.sequoiashunt.fleet.VersionTally;

/**
 * Sums the recent answers of the versions of one service over all nodes.
 *
 * <p>Nodes report counts that only grow while they run. The window holds the increments of these counts, so that many
 * earlier successes do not hide a late fault, and a restart or a repeated report of a node does not distort the sums.
 * What leaves the window is added to totals, which show small faults that the few answers of the window cannot show.
 *
 * <p>Confined to one thread. Invariant: each answer is counted once.
 */
public final class EvidenceWindow {

    private static final long BUCKET_LENGTH_MS = 250;

    /** Share of a bucket's answers up to which failures count in the totals: a target that ends fails many at once. */
    private static final double MAXIMUM_COUNTED_FAILURE_SHARE = 0.3;

    private final String service;
    private final long lengthMs;
    private final Map<TallySource, VersionTally> latestTallies = new HashMap<>();
    private final Deque<Bucket> buckets = new ArrayDeque<>();
    private final Map<String, Total> totalsByVersion = new HashMap<>();

    /**
     * Creates an empty window.
     *
     * @param service the service, not null.
     * @param lengthMs the length of the window, in milliseconds.
     */
    public EvidenceWindow(final String service, final long lengthMs) {
        this.service = service;
        this.lengthMs = lengthMs;
    }

    /**
     * Returns the service whose answers are summed.
     *
     * @return the name of the service, never null.
     */
    public String service() {
        return service;
    }

    /**
     * Stores the counts of one node without counting the answers from before.
     *
     * @param node the name of the node, not null.
     * @param incarnation the number of the node's process, different after each restart.
     * @param tallies the node's counts since its start, not null.
     */
    public void setBaseline(final String node, final long incarnation, final List<VersionTally> tallies) {
        for (VersionTally tally : tallies) {
            if (tally.service().equals(service)) {
                latestTallies.put(new TallySource(node, incarnation, tally.version(), tally.route()), tally);
            }
        }
    }

    /**
     * Adds the increments since the previous counts of one node. Counts of other services are ignored.
     *
     * @param node the name of the node, not null.
     * @param incarnation the number of the node's process, different after each restart.
     * @param tallies the node's counts since its start, not null.
     * @param nowMs the current time, in milliseconds.
     */
    public void add(final String node, final long incarnation, final List<VersionTally> tallies, final long nowMs) {
        Bucket bucket = advanceToBucket(nowMs);
        for (VersionTally tally : tallies) {
            if (tally.service().equals(service)) {
                TallySource source = new TallySource(node, incarnation, tally.version(), tally.route());
                VersionTally previous = latestTallies.put(source, tally);
                bucket.add(tally, previous);
            }
        }
    }

    private Bucket advanceToBucket(final long nowMs) {
        while (!buckets.isEmpty() && buckets.peekFirst().startMs < nowMs - lengthMs) {
            addToTotals(buckets.peekFirst());
            buckets.removeFirst();
        }
        if (buckets.isEmpty() || buckets.peekLast().startMs + BUCKET_LENGTH_MS <= nowMs) {
            buckets.addLast(new Bucket(nowMs));
        }
        return buckets.peekLast();
    }

    /**
     * Sums the answers of one version, or of all versions but this one.
     *
     * @param version the version, not null.
     * @param otherVersions true to sum all versions but this one, false to sum this one.
     * @param route the name of the route, or null for all routes.
     * @return the sums, never null.
     */
    public Sum sum(final String version, final boolean otherVersions, final String route) {
        long answers = 0;
        long failures = 0;
        long totalMs = 0;
        for (Bucket bucket : buckets) {
            Sum sum = bucket.sum(version, otherVersions, route);
            answers += sum.answers();
            failures += sum.failures();
            totalMs += sum.totalMs();
        }
        return new Sum(answers, failures, totalMs);
    }

    /**
     * Returns the failure share of the other versions, weighted by the times at which this version answered. Failures
     * that have a common cause, such as failing calls to another service, can start and end within the window while the
     * versions' shares of the traffic change.
     *
     * @param version the version, not null.
     * @param route the name of the route, or null for all routes.
     * @return the failure share from 0 to 1, zero if the other versions have not answered.
     */
    public double matchedFailureShare(final String version, final String route) {
        double overallFailureShare = sum(version, true, route).failureShare();
        double weightedFailures = 0;
        long answers = 0;
        for (Bucket bucket : buckets) {
            Sum versionSum = bucket.sum(version, false, route);
            Sum otherVersionsSum = bucket.sum(version, true, route);
            answers += versionSum.answers();
            weightedFailures += versionSum.answers()
                    * (otherVersionsSum.answers() == 0 ? overallFailureShare : otherVersionsSum.failureShare());
        }
        return answers == 0 ? overallFailureShare : weightedFailures / answers;
    }

    private void addToTotals(final Bucket bucket) {
        bucket.versions().forEach(version -> totalsByVersion.merge(version, totalOf(bucket, version), Total::plus));
    }

    private Total totalOf(final Bucket bucket, final String version) {
        Sum answers = bucket.sum(version, false, null);
        double countedFailures = Math.min(answers.failures(), 1 + MAXIMUM_COUNTED_FAILURE_SHARE * answers.answers());
        double expectedFailures = answers.answers() * sum(version, true, null).failureShare();
        return new Total(
                answers.answers(),
                countedFailures,
                expectedFailures,
                bucket.sum(version, true, null).answers());
    }

    /**
     * Sums the answers of one version on all routes since this object was created.
     *
     * @param version the version, not null.
     * @return the totals, never null.
     */
    public Total total(final String version) {
        Total total = totalsByVersion.getOrDefault(version, new Total(0, 0, 0, 0));
        for (Bucket bucket : buckets) {
            total = total.plus(totalOf(bucket, version));
        }
        return total;
    }

    /**
     * Lists the routes on which any version has answered within the window.
     *
     * @return the names in alphabetical order, never null.
     */
    public Set<String> routes() {
        Set<String> routes = new TreeSet<>();
        buckets.forEach(bucket -> bucket.countsByKey.keySet().forEach(key -> routes.add(key.route())));
        return routes;
    }

    /**
     * Sums of answers. Immutable and thread-safe.
     *
     * @param answers the number of requests that ended.
     * @param failures the number of these requests that failed.
     * @param totalMs the sum of the durations, in milliseconds.
     */
    public record Sum(long answers, long failures, long totalMs) {

        /**
         * Returns the share of failures.
         *
         * @return the share from 0 to 1, zero without answers.
         */
        public double failureShare() {
            return answers == 0 ? 0 : failures / (double) answers;
        }

        /**
         * Returns the mean duration.
         *
         * @return the mean in milliseconds, zero without answers.
         */
        public double meanMs() {
            return answers == 0 ? 0 : totalMs / (double) answers;
        }
    }

    /**
     * Answers of one version since the window was created. Immutable and thread-safe.
     *
     * @param answers the number of requests that ended.
     * @param failures the number of these requests that failed, without most of those that failed together.
     * @param expectedFailures the failures that the other versions would have had at the same times.
     * @param otherAnswers the number of answers of the other versions in that time.
     */
    public record Total(long answers, double failures, double expectedFailures, long otherAnswers) {

        private Total plus(final Total other) {
            return new Total(
                    answers + other.answers,
                    failures + other.failures,
                    expectedFailures + other.expectedFailures,
                    otherAnswers + other.otherAnswers);
        }
    }

    /** Identifies one series of growing counts. Immutable and thread-safe. */
    private record TallySource(String node, long incarnation, String version, String route) {}

    /** Version and route whose answers are summed separately. Immutable and thread-safe. */
    private record AnswerKey(String version, String route) {}

    /** Increments that arrived within {@link #BUCKET_LENGTH_MS}. Confined to the thread of the window. */
    private static final class Bucket {

        private final long startMs;
        private final Map<AnswerKey, long[]> countsByKey = new HashMap<>();

        private Bucket(final long startMs) {
            this.startMs = startMs;
        }

        private Set<String> versions() {
            Set<String> versions = new TreeSet<>();
            countsByKey.keySet().forEach(key -> versions.add(key.version()));
            return versions;
        }

        private Sum sum(final String version, final boolean otherVersions, final String route) {
            long answers = 0;
            long failures = 0;
            long totalMs = 0;
            for (Map.Entry<AnswerKey, long[]> entry : countsByKey.entrySet()) {
                AnswerKey key = entry.getKey();
                boolean matches = key.version().equals(version) != otherVersions;
                if (matches && (route == null || key.route().equals(route))) {
                    answers += entry.getValue()[0];
                    failures += entry.getValue()[1];
                    totalMs += entry.getValue()[2];
                }
            }
            return new Sum(answers, failures, totalMs);
        }

        private void add(final VersionTally tally, final VersionTally previous) {
            long answers = tally.answers() - (previous == null ? 0 : previous.answers());
            long failures = tally.failures() - (previous == null ? 0 : previous.failures());
            long totalMs = tally.totalMs() - (previous == null ? 0 : previous.totalMs());
            if (answers > 0) {
                long[] counts = countsByKey.computeIfAbsent(
                        new AnswerKey(tally.version(), tally.route()), unused -> new long[3]);
                counts[0] += answers;
                counts[1] += Math.max(0, failures);
                counts[2] += Math.max(0, totalMs);
            }
        }
    }
}
