package org.sequoiashunt.fleet;

import java.util.List;
import java.util.OptionalLong;
import org.sequoiashunt.peer.NodeAddress;

/** Creates node reports without targets, tallies, moves or known nodes. */
public final class NodeReports {

    private static final int CAPACITY = 600;

    private NodeReports() {}

    public static NodeReport of(
            final String node,
            final String region,
            final long incarnation,
            final long sequence,
            final long version,
            final OptionalLong confirmedAgeMs) {
        return of(node, "domain-" + region, region, CAPACITY, incarnation, sequence, version, confirmedAgeMs);
    }

    public static NodeReport of(
            final String node,
            final String failureDomain,
            final String region,
            final int capacity,
            final long incarnation,
            final long sequence,
            final long version,
            final OptionalLong confirmedAgeMs) {
        return new NodeReport(
                node,
                incarnation,
                sequence,
                new NodeAddress("10.0.0.1", 7),
                failureDomain,
                region,
                capacity,
                false,
                version,
                confirmedAgeMs,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                false);
    }
}
