package org.sequoiashunt.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiashunt.membership.StatusReport;

/**
 * Latest status report of each member of a failure domain, kept by its lead.
 *
 * <p>Thread-safe.
 */
public final class MemberStatusReports {

    private final Map<String, StatusReport> reports = new ConcurrentHashMap<>();

    /**
     * Records a report in place of the member's previous one.
     *
     * @param member the name of the member that reports, not null.
     * @param report the report, not null.
     */
    public void record(final String member, final StatusReport report) {
        reports.put(member, report);
    }

    /**
     * Removes the reports of all other members.
     *
     * @param members the names of the members to keep, not null.
     */
    public void retain(final Set<String> members) {
        reports.keySet().retainAll(members);
    }

    /**
     * Returns the configuration versions in force on the given members.
     *
     * @param members the names of the members, not null.
     * @return one version for each member that has reported; empty if none has.
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
     * Returns the distinct reasons why members refuse a newer configuration version.
     *
     * @return the reasons, sorted; empty if no member refuses a version.
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
