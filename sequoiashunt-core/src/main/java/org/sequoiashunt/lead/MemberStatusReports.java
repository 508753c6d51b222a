package org.sequoiashunt.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiashunt.membership.StatusReport;

/**
 * What the members of a failure domain last reported to its lead.
 *
 * <p>Thread-safe.
 */
public final class MemberStatusReports {

    private final Map<String, StatusReport> reports = new ConcurrentHashMap<>();

    /**
     * Notes a report.
     *
     * @param member the member that reports, not null.
     * @param report the report, not null.
     */
    public void record(final String member, final StatusReport report) {
        reports.put(member, report);
    }

    /**
     * Drops the reports of members that are no longer there.
     *
     * @param members the names of the present members, not null.
     */
    public void retain(final Set<String> members) {
        reports.keySet().retainAll(members);
    }

    /**
     * Returns the versions in force on some members.
     *
     * @param members the names of the members, not null.
     * @return the version of each member that has reported.
     */
    public List<Long> versions(final Set<String> members) {
        List<Long> versions = new ArrayList<>();
        for (String member : members) {
            StatusReport report = reports.get(member);
            if (report != null) {
                versions.add(report.configurationVersion());
            }
        }
        return versions;
    }

    /**
     * Returns the different reasons for which members refuse a newer version.
     *
     * @return the reasons, ordered; empty if none refuses.
     */
    public Set<String> refusals() {
        Set<String> refusals = new TreeSet<>();
        reports.values().stream()
                .map(StatusReport::refusal)
                .filter(refusal -> !refusal.isEmpty())
                .forEach(refusals::add);
        return refusals;
    }
}
