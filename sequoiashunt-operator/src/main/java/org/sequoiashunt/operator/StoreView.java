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
 * Reads configuration, moves and domain summaries from the store for one command. Parts are immutable in the store, so
 * each is read once and cached. Confined to one thread.
 */
final class StoreView {

    private final OperatorEnvironment environment;
    private final CommitLog commitLog;
    private final StoredMoveRegistry moveRegistry;
    private final StoredDomainRegistry domainRegistry;
    private final Map<String, ServiceConfiguration> partsByDigest = new HashMap<>();

    StoreView(final Store store, final OperatorEnvironment environment) {
        Store retrying = new RetryingStore(store, environment.startRetry());
        this.environment = environment;
        this.commitLog = CommitLog.of(retrying);
        this.moveRegistry = StoredMoveRegistry.of(retrying, environment.clock());
        this.domainRegistry = StoredDomainRegistry.of(retrying);
    }

    /** Reads the record of the version in force. */
    CommitRecord readCurrentRecord() throws StoreException, ConfigurationException {
        String key = commitLog
                .readHead()
                .orElseThrow(() -> new ConfigurationException("the store holds no configuration yet"))
                .document()
                .record();
        return commitLog.readRecord(key);
    }

    Optional<CommitRecord> readPreviousRecord(final CommitRecord record) throws StoreException, ConfigurationException {
        return record.previous() == null ? Optional.empty() : Optional.of(commitLog.readRecord(record.previous()));
    }

    /** Reads the configuration of a service in a record; empty if the record lacks the service. */
    Optional<ServiceConfiguration> readService(final CommitRecord record, final String service)
            throws StoreException, ConfigurationException {
        String digest = record.parts().get(service);
        if (digest == null) {
            return Optional.empty();
        }
        ServiceConfiguration configuration = partsByDigest.get(digest);
        if (configuration == null) {
            configuration = commitLog.readPart(digest);
            partsByDigest.put(digest, configuration);
        }
        return Optional.of(configuration);
    }

    /**
     * Reads the status of a move. Progress that cannot be read gives an unreadable status instead of an exception, so
     * that the other moves are still shown.
     */
    MoveStatus readMoveStatus(final String service, final Move move) throws StoreException {
        long nowMs = environment.clock().nowMs();
        try {
            return MoveStatus.of(service, move, moveRegistry.readHistory(move.identity(service)), nowMs);
        } catch (UnreadableValueException exception) {
            return MoveStatus.unreadable(service, move, exception.getMessage());
        }
    }

    /** Reads the stages that a move went through; empty if it has not started or its history cannot be read. */
    List<MoveHistory.Step> readMoveSteps(final String service, final Move move) throws StoreException {
        try {
            return moveRegistry
                    .readHistory(move.identity(service))
                    .map(MoveHistory::steps)
                    .orElse(List.of());
        } catch (UnreadableValueException exception) {
            return List.of();
        }
    }

    /**
     * Reads the summaries of all domains. If one cannot be read, reads the given domains one by one and skips
     * those that cannot be read; each failure is reported as a notice.
     */
    List<DomainSummary> readDomainSummaries(final Collection<String> failureDomains) throws StoreException {
        try {
            return domainRegistry.readAll();
        } catch (UnreadableValueException exception) {
            environment.notices().accept(exception.getMessage());
        }
        List<DomainSummary> readable = new ArrayList<>();
        for (String domain : failureDomains) {
            try {
                domainRegistry.read(domain).ifPresent(readable::add);
            } catch (UnreadableValueException exception) {
                environment.notices().accept(domain + " is shown without its report");
            }
        }
        return readable;
    }
}
