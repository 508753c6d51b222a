package org.sequoiashunt.trial.overload;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What became of the requests of an experiment, by route and by second. Confined to one thread. */
final class LoadStatistics {

    private static final int PICTURE_WIDTH = 40;
    private static final long MS_PER_SECOND = 1_000;
    private static final double BYTES_PER_MB = 1e6;

    private final Map<String, Counts> countsByRoute = new TreeMap<>();
    private final TreeMap<Long, double[]> worthBySecond = new TreeMap<>();
    private final ArrivalCounts arrivals = new ArrivalCounts();
    private final BalanceStatistics balance = new BalanceStatistics();
    private long servedMs;
    private long served;
    private long remoteAttempts;
    private long regionAttempts;
    private long attempts;
    private long regionBytes;
    private long remoteBytes;
    private long parentsLost;
    private final Map<String, List<Double>> busyByService = new TreeMap<>();

    ArrivalCounts arrivals() {
        return arrivals;
    }

    BalanceStatistics balance() {
        return balance;
    }

    /** Returns the mean time from the arrival of a request to its answer, in milliseconds. */
    double meanServedMs() {
        return servedMs / (double) served;
    }

    void asked(final LoadRoute route, final long atMs) {
        counts(route).asked++;
        second(atMs)[0] += route.worth();
    }

    void served(final LoadRoute route, final long atMs, final long durationMs) {
        Counts counts = counts(route);
        boolean inTime = durationMs <= route.objectiveMs();
        double worth = inTime ? route.worth() : route.lateWorth();
        servedMs += durationMs;
        served++;
        counts.inTime += inTime ? 1 : 0;
        counts.late += inTime ? 0 : 1;
        counts.worth += worth;
        second(atMs)[1] += worth;
    }

    void refused(final LoadRoute route, final boolean cameBack) {
        counts(route).refused++;
        counts(route).refusedAgain += cameBack ? 1 : 0;
    }

    void failed(final LoadRoute route) {
        counts(route).failed++;
    }

    void attempt(final LoadRoute route, final boolean sameDomain, final boolean sameRegion) {
        attempts++;
        regionBytes += !sameDomain && sameRegion ? route.answerBytes() : 0;
        remoteBytes += sameRegion ? 0 : route.answerBytes();
        regionAttempts += !sameDomain && sameRegion ? 1 : 0;
        remoteAttempts += sameRegion ? 0 : 1;
    }

    void parentLost() {
        parentsLost++;
    }

    void busy(final String service, final double share) {
        busyByService.computeIfAbsent(service, unused -> new ArrayList<>()).add(share);
    }

    private Counts counts(final LoadRoute route) {
        return countsByRoute.computeIfAbsent(route.name(), name -> new Counts(route.worth()));
    }

    private double[] second(final long atMs) {
        return worthBySecond.computeIfAbsent(atMs / MS_PER_SECOND, second -> new double[2]);
    }

    /** Returns the worth that was served, as a share of what was asked for. */
    double servedWorth() {
        double owed = countsByRoute.values().stream()
                .mapToDouble(counts -> counts.asked * counts.each)
                .sum();
        return countsByRoute.values().stream()
                        .mapToDouble(counts -> counts.worth)
                        .sum()
                / owed;
    }

    /** Returns the share of a route's worth that was served. */
    double servedWorth(final String route) {
        Counts counts = countsByRoute.get(route);
        return counts.worth / (counts.asked * counts.each);
    }

    /** Returns the worth that came back after a refusal and was refused again, as a share of what was asked for. */
    double refusedAgain() {
        double owed = countsByRoute.values().stream()
                .mapToDouble(counts -> counts.asked * counts.each)
                .sum();
        return countsByRoute.values().stream()
                        .mapToDouble(counts -> counts.refusedAgain * counts.each)
                        .sum()
                / owed;
    }

    /** Returns the share of the attempts that cross regions. */
    double remoteShare() {
        return remoteAttempts / (double) attempts;
    }

    void print(final PrintStream out) {
        out.printf(
                Locale.ROOT,
                "served worth %.3f, refused again %.3f; of the attempts %.3f in the region, %.3f beyond,"
                        + " MB %.1f and %.1f; parents lost %d%n",
                servedWorth(),
                refusedAgain(),
                regionAttempts / (double) attempts,
                remoteShare(),
                regionBytes / BYTES_PER_MB,
                remoteBytes / BYTES_PER_MB,
                parentsLost);
        busyByService.forEach((service, shares) -> out.printf(
                Locale.ROOT,
                "  %-9s slots in use %.3f, of single targets %.3f to %.3f%n",
                service,
                shares.stream().mapToDouble(share -> share).average().orElse(0),
                Collections.min(shares),
                Collections.max(shares)));
        countsByRoute.forEach((name, counts) -> out.printf(
                Locale.ROOT,
                "  %-9s asked %6d in time %6d late %5d refused %5d (again %5d) failed %4d worth %.3f%n",
                name,
                counts.asked,
                counts.inTime,
                counts.late,
                counts.refused,
                counts.refusedAgain,
                counts.failed,
                counts.worth / (counts.asked * counts.each)));
    }

    /** Prints a bar for each second: the share of its worth that was served. */
    void printPicture(final PrintStream out) {
        worthBySecond.forEach((second, worth) -> {
            double share = worth[0] == 0 ? 0 : worth[1] / worth[0];
            char[] bar = new char[(int) Math.round(PICTURE_WIDTH * Math.min(1, share))];
            Arrays.fill(bar, '#');
            out.printf(Locale.ROOT, "  %3d s %.3f %s%n", second, share, new String(bar));
        });
    }

    /** Counts of one route. */
    private static final class Counts {

        private final double each;
        private long asked;
        private long inTime;
        private long late;
        private long refused;
        private long refusedAgain;
        private long failed;
        private double worth;

        private Counts(final double each) {
            this.each = each;
        }
    }
}
