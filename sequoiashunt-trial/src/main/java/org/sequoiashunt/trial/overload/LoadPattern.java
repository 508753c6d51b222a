package org.sequoiashunt.trial.overload;

import java.util.SplittableRandom;

/**
 * How the load and the targets change over the 30 seconds of an experiment. Each pattern is one that the decisions at
 * the gate and at the entry answer. Immutable and thread-safe.
 */
enum LoadPattern {
    /** Nothing changes but for the ordinary waves of arrivals. */
    STEADY,
    /** 1.7 times the load for three seconds, twice. */
    BURST {
        @Override
        double arrivals(final long nowMs) {
            return isWithin(nowMs, 8_000, 3_000) || isWithin(nowMs, 18_000, 3_000) ? BURST_FACTOR : 1;
        }
    },
    /** A third of the callers do not wait as told and try again at once, three times as often. */
    RETRY_STORM {
        @Override
        boolean isImpatient(final long nowMs, final double draw) {
            return isWithin(nowMs, 8_000, 8_000) && draw < IMPATIENT_SHARE;
        }
    },
    /** One target in four takes five times as long. */
    SLOW_TARGETS {
        @Override
        double slowness(final long nowMs, final int target) {
            return target % AFFECTED == 0 && isWithin(nowMs, 8_000, 9_000) ? SLOWNESS : 1;
        }
    },
    /** One target in four refuses half of its requests at once. */
    GREY_TARGETS {
        @Override
        double refusedShare(final long nowMs, final int target) {
            return target % AFFECTED == 0 && isWithin(nowMs, 8_000, 9_000) ? REFUSED_SHARE : 0;
        }
    },
    /** All targets of the first service refuse half of their requests at once. */
    GREY_SERVICE {
        @Override
        double refusedShare(final long nowMs, final int target) {
            return target < FIRST_SERVICE && isWithin(nowMs, 8_000, 8_000) ? REFUSED_SHARE : 0;
        }
    },
    /** All targets of the service that running requests call refuse half of their requests at once. */
    GREY_CALLED_SERVICE {
        @Override
        double refusedShare(final long nowMs, final int target) {
            return target >= FIRST_SERVICE && isWithin(nowMs, 8_000, 8_000) ? REFUSED_SHARE : 0;
        }
    },
    /** 15% of the targets take 2.5 times as long for 600 ms at a time, others in turn. */
    SLOW_IN_TURN {
        @Override
        double slowness(final long nowMs, final int target) {
            int turn = (int) (nowMs / TURN_MS);
            double draw = new SplittableRandom(turn * TARGETS_PER_TURN + target).nextDouble();
            return draw < SHARE_SLOW_IN_TURN ? SLOWNESS_IN_TURN : 1;
        }
    };

    private static final double BURST_FACTOR = 1.7;
    private static final double IMPATIENT_SHARE = 0.33;
    private static final int AFFECTED = 4;
    private static final double SLOWNESS = 5;
    private static final double REFUSED_SHARE = 0.5;
    private static final int FIRST_SERVICE = 6;
    private static final int TURN_MS = 600;
    private static final long TARGETS_PER_TURN = 1_000;
    private static final double SHARE_SLOW_IN_TURN = 0.15;
    private static final double SLOWNESS_IN_TURN = 2.5;

    private static boolean isWithin(final long nowMs, final long startMs, final long lengthMs) {
        return nowMs >= startMs && nowMs < startMs + lengthMs;
    }

    /** Returns the load at a time, 1 for the ordinary one. */
    double arrivals(final long nowMs) {
        return 1;
    }

    /** Tells whether a caller tries again without waiting, by a random number below 1. */
    boolean isImpatient(final long nowMs, final double draw) {
        return false;
    }

    /** Returns how many times as long a target takes. */
    double slowness(final long nowMs, final int target) {
        return 1;
    }

    /** Returns the share of its requests that a target refuses without running them. */
    double refusedShare(final long nowMs, final int target) {
        return 0;
    }
}
