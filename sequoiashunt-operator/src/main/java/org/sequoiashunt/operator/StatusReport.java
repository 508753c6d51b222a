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
 * Accepted configuration version with the progress of its moves and its distribution to the failure domains, read from
 * the store. Immutable and thread-safe.
 *
 * @param version the number of the accepted configuration version.
 * @param commitId the id of the commit that created the version.
 * @param author the author of the commit.
 * @param atMs the time of the commit, in milliseconds since the epoch.
 * @param moves the status of each move of the accepted version, ordered by service; may be empty.
 * @param domains the status of the accepted version in each failure domain, ordered by failure domain; may be empty.
 * @param problems one line for each service whose configuration cannot be read; may be empty.
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
        CommitRecord record = view.readCurrentRecord();
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

    /** Reads the status of each move. A service whose part cannot be read is added to the problems and skipped. */
    private static List<MoveStatus> readMoves(
            final StoreView view, final CommitRecord record, final List<String> problems) throws StoreException {
        List<MoveStatus> moves = new ArrayList<>();
        for (String service : record.parts().keySet()) {
            try {
                Optional<Move> move = view.readService(record, service).flatMap(ServiceConfiguration::move);
                if (move.isPresent()) {
                    moves.add(view.readMoveStatus(service, move.get()));
                }
            } catch (ConfigurationException exception) {
                problems.add(service + ": " + exception.getMessage());
            }
        }
        return moves;
    }

    private static List<DomainStatus> readDomains(final StoreView view, final CommitRecord record, final long nowMs)
            throws StoreException {
        Map<String, Optional<DomainSummary>> summariesByDomain = new TreeMap<>();
        record.groups()
                .values()
                .forEach(domains -> domains.forEach(domain -> summariesByDomain.put(domain, Optional.empty())));
        view.readDomainSummaries(Set.copyOf(summariesByDomain.keySet()))
                .forEach(summary -> summariesByDomain.put(summary.failureDomain(), Optional.of(summary)));
        List<DomainStatus> statuses = new ArrayList<>();
        summariesByDomain.forEach(
                (domain, summary) -> statuses.add(DomainStatus.of(domain, summary, record.version(), nowMs)));
        return statuses;
    }
}
