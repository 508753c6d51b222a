package org.sequoiashunt.fleet;

import java.util.List;
import java.util.OptionalLong;
import org.sequoiashunt.peer.NodeAddress;

/** Creates node reports without targets, tallies, moves or known nodes. */
public final class NodeReports {

    private NodeReports() {}

    public static NodeReport of(
            final String node,
            final String region,
            final long incarnation,
            final long sequence,
            final long version,
            final OptionalLong confirmedAgeMs) {
        return new NodeReport(
                node,
                incarnation,
                sequence,
                new NodeAddress("10.0.0.1", 7),
                "domain-" + region,
                region,
                false,
                version,
                confirmedAgeMs,
                List.of(),
                List.of(),
                List.of(),
                List.of());
    }
}
