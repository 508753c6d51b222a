package org.sequoiashunt.call;

/**
 * Priority of a call among the calls that wait for the same target.
 *
 * <p>Immutable and thread-safe. Invariant: the rank is not negative.
 *
 * @param rank the rank of the route, zero or more; calls with lower ranks run first.
 * @param objectiveMs the time until which the response has its full value, in milliseconds of the local clock.
 */
public record CallUrgency(int rank, long objectiveMs) {

    /** Rank of calls whose route defines no rank. */
    public static final int DEFAULT_RANK = 1;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the rank is negative.
     */
    public CallUrgency {
        if (rank < 0) {
            throw new IllegalArgumentException("rank must not be negative: " + rank);
        }
    }

    /**
     * Creates the urgency of a call with the default rank, whose response keeps its full value until the deadline.
     *
     * @param deadlineMs the deadline, in milliseconds of the local clock.
     * @return the urgency, never null.
     */
    public static CallUrgency withDefaultRank(final long deadlineMs) {
        return new CallUrgency(DEFAULT_RANK, deadlineMs);
    }
}
