package org.sequoiashunt.operator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiashunt.commit.CommitLog;
import org.sequoiashunt.commit.CommitRecord;
import org.sequoiashunt.commit.MoveHistory;
import org.sequoiashunt.commit.StoredDomainRegistry;
import org.sequoiashunt.commit.StoredMoveRegistry;
import org.sequoiashunt.commit.UnreadableValueException;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.membership.DomainSummary;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;

/**
 * What one command reads from the store. Parts are read once, as they never change. Confined to one thread.
 */
final class StoreView {

    private final OperatorEnvironment environment;
    private final CommitLog log;
    private final StoredMoveRegistry moves;
    private final StoredDomainRegistry domains;
    private final Map<String, ServiceConfiguration> parts = new HashMap<>();

    StoreView(final Store store, final OperatorEnvironment environment) {
        Store retrying = new RetryingStore(store, environment.startRetry());
        this.environment = environment;
        this.log = CommitLog.of(retrying);
        this.moves = StoredMoveRegistry.of(retrying, environment.clock());
        this.domains = StoredDomainRegistry.of(retrying);
    }

    /** Reads the record of the version in force. */
    CommitRecord current() throws StoreException, ConfigurationException {
        String key = log.readHead()
                .orElseThrow(() -> new ConfigurationException("the store holds no configuration yet"))
                .document()
                .record();
        return log.readRecord(key);
    }

    Optional<CommitRecord> previous(final CommitRecord record) throws StoreException, ConfigurationException {
        return record.previous() == null ? Optional.empty() : Optional.of(log.readRecord(record.previous()));
    }

    /** Reads the configuration of a service in a record, or empty if the record lacks the service. */
    Optional<ServiceConfiguration> service(final CommitRecord record, final String service)
            throws StoreException, ConfigurationException {
        String digest = record.parts().get(service);
        if (digest == null) {
            return Optional.empty();
        }
        ServiceConfiguration known = parts.get(digest);
        if (known == null) {
            known = log.readPart(digest);
            parts.put(digest, known);
        }
        return Optional.of(known);
    }

    /** Tells where a move stands; a value that cannot be read does not hide the other moves. */
    MoveStatus move(final String service, final Move move) throws StoreException {
        long nowMs = environment.clock().nowMs();
        try {
            return MoveStatus.of(service, move, moves.readHistory(move.identity(service)), nowMs);
        } catch (UnreadableValueException exception) {
            return MoveStatus.unreadable(service, move, exception.getMessage());
        }
    }

    /** Reads the stages that a move went through, none if there are none that can be read. */
    List<MoveHistory.Step> steps(final String service, final Move move) throws StoreException {
        try {
            return moves.readHistory(move.identity(service))
                    .map(MoveHistory::steps)
                    .orElse(List.of());
        } catch (UnreadableValueException exception) {
            return List.of();
        }
    }

    /** Reads all summaries, or the readable ones of the domains named if one cannot be read. */
    List<DomainSummary> domains(final Collection<String> named) throws StoreException {
        try {
            return domains.readAll();
        } catch (UnreadableValueException exception) {
            environment.notices().accept(exception.getMessage());
        }
        List<DomainSummary> readable = new ArrayList<>();
        for (String domain : named) {
            try {
                domains.read(domain).ifPresent(readable::add);
            } catch (UnreadableValueException exception) {
                environment.notices().accept(domain + " is shown without its report");
            }
        }
        return readable;
    }
}
