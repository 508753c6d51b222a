package org.sequoiashunt.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the nodes of a failure domain that relay reports and configurations between it and other domains.
 *
 * <p>All nodes apply the same order to the reports that they have, so no election is needed: the nodes with the
 * greatest capacity come first, then names decide. Nodes with different reports may select different relays; this only
 * duplicates reports, since an older report never replaces a newer one.
 *
 * <p>Not instantiable; thread-safe.
 */
public final class RelaySelection {

    /** Relays of a failure domain: the second one covers the loss of the first until that is noticed. */
    public static final int RELAYS_PER_DOMAIN = 2;

    /** Order of suitability as a relay, the most suitable node first. */
    public static final Comparator<NodeReport> SUITABILITY =
            Comparator.comparingInt(NodeReport::capacity).reversed().thenComparing(NodeReport::node);

    private RelaySelection() {}

    /**
     * Selects the relays of a failure domain.
     *
     * @param reports the reports of live nodes of any domain, not null.
     * @param failureDomain the name of the domain, not null.
     * @return at most {@value #RELAYS_PER_DOMAIN} nodes, the most suitable first; empty if all nodes of the domain are
     *     leaving or it has none. Never null.
     */
    public static List<NodeReport> relays(final Collection<NodeReport> reports, final String failureDomain) {
        return reports.stream()
                .filter(report -> !report.leaving() && report.failureDomain().equals(failureDomain))
                .sorted(SUITABILITY)
                .limit(RELAYS_PER_DOMAIN)
                .toList();
    }
}
