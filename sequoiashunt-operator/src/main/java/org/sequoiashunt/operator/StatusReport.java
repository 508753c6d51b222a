package org.sequoiashunt.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.sequoiashunt.commit.CommitRecord;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.membership.DomainSummary;
import org.sequoiashunt.store.StoreException;

/**
 * State of the system as the store shows it. Immutable and thread-safe.
 *
 * @param version the accepted version.
 * @param commitId the identity of its commit.
 * @param author who committed it.
 * @param atMs when it was committed, in milliseconds since the epoch.
 * @param moves where each move of the accepted version stands, ordered by service.
 * @param domains where the accepted version is in force, ordered by failure domain.
 * @param problems parts of the accepted version that cannot be read.
 */
record StatusReport(
        long version,
        String commitId,
        String author,
        long atMs,
        List<MoveStatus> moves,
        List<DomainStatus> domains,
        List<String> problems) {

    StatusReport {
        moves = List.copyOf(moves);
        domains = List.copyOf(domains);
        problems = List.copyOf(problems);
    }

    static StatusReport read(final StoreView view, final long nowMs) throws StoreException, ConfigurationException {
        CommitRecord record = view.current();
        List<String> problems = new ArrayList<>();
        return new StatusReport(
                record.version(),
                record.commitId(),
                record.author(),
                record.atMs(),
                readMoves(view, record, problems),
                readDomains(view, record, nowMs),
                problems);
    }

    /** A part that cannot be read hides only its own move. */
    private static List<MoveStatus> readMoves(
            final StoreView view, final CommitRecord record, final List<String> problems) throws StoreException {
        List<MoveStatus> moves = new ArrayList<>();
        for (String service : record.parts().keySet()) {
            try {
                Optional<Move> move = view.service(record, service).flatMap(ServiceConfiguration::move);
                if (move.isPresent()) {
                    moves.add(view.move(service, move.get()));
                }
            } catch (ConfigurationException exception) {
                problems.add(service + ": " + exception.getMessage());
            }
        }
        return moves;
    }

    private static List<DomainStatus> readDomains(final StoreView view, final CommitRecord record, final long nowMs)
            throws StoreException {
        Map<String, Optional<DomainSummary>> known = new TreeMap<>();
        record.groups().values().forEach(domains -> domains.forEach(domain -> known.put(domain, Optional.empty())));
        view.domains(Set.copyOf(known.keySet()))
                .forEach(summary -> known.put(summary.failureDomain(), Optional.of(summary)));
        List<DomainStatus> statuses = new ArrayList<>();
        known.forEach((domain, summary) -> statuses.add(DomainStatus.of(domain, summary, record.version(), nowMs)));
        return statuses;
    }
}
