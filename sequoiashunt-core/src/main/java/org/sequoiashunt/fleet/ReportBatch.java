package org.sequoiashunt.fleet;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Control message in which a relay passes on the reports of several nodes. Immutable and thread-safe.
 *
 * @param reports the reports with their ages.
 */
public record ReportBatch(List<RelayedReport> reports) implements ControlMessage {

    /**
     * Copies the list.
     *
     * @throws NullPointerException if the list or an element is null.
     */
    public ReportBatch {
        reports = List.copyOf(reports);
    }

    /**
     * Report and the time for which it has been on its way. Immutable and thread-safe.
     *
     * @param report the report.
     * @param ageMs the time since the first node received the report, in milliseconds; the transfer between nodes is
     *     not included.
     */
    public record RelayedReport(NodeReport report, long ageMs) {

        /**
         * Checks the components.
         *
         * @throws NullPointerException if the report is null.
         * @throws IllegalArgumentException if the age is negative.
         */
        public RelayedReport {
            Objects.requireNonNull(report, "report");
            if (ageMs < 0) {
                throw new IllegalArgumentException("the age must not be negative: " + ageMs);
            }
        }
    }
}
