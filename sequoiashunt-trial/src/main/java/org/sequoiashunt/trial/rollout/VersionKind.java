package org.sequoiashunt.trial.rollout;

import java.util.random.RandomGenerator;

/**
 * Kinds of version and of surroundings that a trial can have. Immutable and thread-safe.
 *
 * <p>A kind draws its parameters once for each trial, so that policies meet the same world.
 */
enum VersionKind {
    /** Sound. */
    GOOD(false) {
        @Override
        Behaviour draw(final RandomGenerator random, final Workload workload) {
            return request -> RequestEffect.NONE;
        }
    },
    /** Sound, but slow in the first calls of each target. */
    GOOD_COLD_START(false) {
        @Override
        Behaviour draw(final RandomGenerator random, final Workload workload) {
            double factor = random.nextDouble(2, 8);
            return request -> request.newVersion()
                    ? new RequestEffect(0, 1 + factor * Math.exp(-request.targetCalls() / 8.0))
                    : RequestEffect.NONE;
        }
    },
    /** Sound; one VM is slow and fails now and then, whichever version it runs. */
    GOOD_NOISY_NEIGHBOUR(false) {
        @Override
        Behaviour draw(final RandomGenerator random, final Workload workload) {
            int noisy = random.nextInt(workload.targets());
            Interval interval = Interval.draw(random, workload);
            RequestEffect effect = new RequestEffect(random.nextDouble(0.01, 0.1), random.nextDouble(2, 6));
            return request ->
                    request.target() == noisy && interval.contains(request.elapsedMs()) ? effect : RequestEffect.NONE;
        }
    },
    /** Sound; the platform's store is out. */
    GOOD_STORE_OUTAGE(false) {
        @Override
        Behaviour draw(final RandomGenerator random, final Workload workload) {
            return request -> RequestEffect.NONE;
        }
    },
    /** Sound; a dependency of both versions fails and slows down for a while. */
    GOOD_SHARED_FAULT(false) {
        @Override
        Behaviour draw(final RandomGenerator random, final Workload workload) {
            Interval interval = Interval.draw(random, workload);
            RequestEffect effect = new RequestEffect(random.nextDouble(0.05, 0.6), random.nextDouble(1, 5));
            return request -> interval.contains(request.elapsedMs()) ? effect : RequestEffect.NONE;
        }
    },
    /** Fails from its first request. */
    BAD_AT_ONCE(true) {
        @Override
        Behaviour draw(final RandomGenerator random, final Workload workload) {
            RequestEffect effect = new RequestEffect(random.nextDouble(0.1, 1), 1);
            return request -> request.newVersion() ? effect : RequestEffect.NONE;
        }
    },
    /** Fails from some time on. */
    BAD_LATE(true) {
        @Override
        Behaviour draw(final RandomGenerator random, final Workload workload) {
            RequestEffect effect = new RequestEffect(random.nextDouble(0.1, 1), 1);
            double fromMs = random.nextDouble(0.1, 0.8) * workload.windowMs();
            return request -> request.newVersion() && request.elapsedMs() >= fromMs ? effect : RequestEffect.NONE;
        }
    },
    /** Fails where a target has more than a part of its full load. */
    BAD_UNDER_LOAD(true) {
        @Override
        Behaviour draw(final RandomGenerator random, final Workload workload) {
            RequestEffect effect = new RequestEffect(random.nextDouble(0.1, 1), 1);
            double limit = random.nextDouble(0.15, 0.7);
            return request -> request.newVersion() && request.loadFraction() > limit ? effect : RequestEffect.NONE;
        }
    },
    /** Fails on one route. */
    BAD_ON_ONE_ROUTE(true) {
        @Override
        Behaviour draw(final RandomGenerator random, final Workload workload) {
            RequestEffect effect = new RequestEffect(random.nextDouble(0.1, 1), 1);
            TrialRoute faulty = TrialRoute.values()[random.nextInt(TrialRoute.values().length)];
            return request -> request.newVersion() && request.route() == faulty ? effect : RequestEffect.NONE;
        }
    },
    /** Answers, but slowly. */
    BAD_SLOW(true) {
        @Override
        Behaviour draw(final RandomGenerator random, final Workload workload) {
            RequestEffect effect = new RequestEffect(0, random.nextDouble(2, 10));
            return request -> request.newVersion() ? effect : RequestEffect.NONE;
        }
    };

    private final boolean bad;

    VersionKind(final boolean bad) {
        this.bad = bad;
    }

    /**
     * Tells whether the version must be taken back.
     *
     * @return true if it is bad.
     */
    boolean isBad() {
        return bad;
    }

    /**
     * Draws how the world behaves in one trial.
     *
     * @param random the source of chance, not null.
     * @param workload the workload, not null.
     * @return the behaviour, never null.
     */
    abstract Behaviour draw(RandomGenerator random, Workload workload);

    /** Effect of the world on requests. Implementations are immutable and thread-safe. */
    @FunctionalInterface
    interface Behaviour {

        /**
         * Returns the effect on one request.
         *
         * @param request what the request meets, not null.
         * @return the effect, {@link RequestEffect#NONE} if there is none.
         */
        RequestEffect effect(RequestContext request);
    }

    /** Part of a window, in milliseconds since the commit. Immutable and thread-safe. */
    private record Interval(double fromMs, double untilMs) {

        private static Interval draw(final RandomGenerator random, final Workload workload) {
            double fromMs = random.nextDouble(0, 0.8) * workload.windowMs();
            return new Interval(fromMs, fromMs + random.nextDouble(0.05, 0.3) * workload.windowMs());
        }

        private boolean contains(final double elapsedMs) {
            return elapsedMs >= fromMs && elapsedMs < untilMs;
        }
    }
}
