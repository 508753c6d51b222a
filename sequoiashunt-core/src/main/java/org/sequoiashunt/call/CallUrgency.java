package org.sequoiashunt.call;

/**
 * How a call ranks among others that wait for the same target.
 *
 * <p>Immutable and thread-safe. Invariant: the rank is not negative.
 *
 * @param rank the rank of the route; lower ranks go first.
 * @param objectiveMs until when the answer has its full worth, in milliseconds of the local clock.
 */
public record CallUrgency(int rank, long objectiveMs) {

    /** Rank of calls that no route ranks. */
    public static final int ORDINARY_RANK = 1;

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
     * Creates the urgency of a call whose answer is worth the same until its deadline.
     *
     * @param deadlineMs the deadline, in milliseconds of the local clock.
     * @return the urgency, never null.
     */
    public static CallUrgency ordinary(final long deadlineMs) {
        return new CallUrgency(ORDINARY_RANK, deadlineMs);
    }
}
