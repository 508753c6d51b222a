package org.sequoiashunt.placement;

/**
 * Expected transfer of the large body of a call over the links of VMs.
 *
 * <p>Only the rate of the own link is known. It counts for the other end too, since small VMs have similar links.
 *
 * <p>Immutable and thread-safe.
 *
 * @param linkMbps the rate of this VM's link, in Mbit/s, not negative; 0 if it is unknown, and no time counts.
 * @param bytes the expected length of the body, in bytes, not negative.
 */
public record BodyTransfer(double linkMbps, double bytes) {

    /** Transfer of an ordinary body, which takes no time worth counting. */
    public static final BodyTransfer NONE = new BodyTransfer(0, 0);

    /**
     * Factor on the time of a transfer to another region, not measured: the path between regions has the rate of about
     * five links, and all nodes of a region share it.
     */
    private static final double REMOTE_FACTOR = 2;

    /** Bound of the time, an hour: a cost without bound would exclude every target. */
    private static final double MAXIMUM_MS = 3_600_000;

    private static final double KILOBITS_PER_BYTE = 8 / 1_000.0;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a component is negative or not a number.
     */
    public BodyTransfer {
        if (!(linkMbps >= 0) || !(bytes >= 0)) {
            throw new IllegalArgumentException("must not be negative: " + linkMbps + " Mbit/s, " + bytes + " bytes");
        }
    }

    /**
     * Estimates how long the body is on its way between this node and that of a target.
     *
     * @param distance the distance to the target's node, not null.
     * @return the time in milliseconds, at most an hour; 0 for a target on this node.
     */
    public double expectedMs(final Distance distance) {
        if (linkMbps == 0 || distance == Distance.NODE) {
            return 0;
        }
        double factor = distance == Distance.REMOTE ? REMOTE_FACTOR : 1;
        return Math.min(MAXIMUM_MS, bytes * KILOBITS_PER_BYTE / linkMbps * factor);
    }
}
