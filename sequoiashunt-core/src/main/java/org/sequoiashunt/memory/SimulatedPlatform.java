package org.sequoiashunt.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.ConfigurationSource;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.membership.DomainRegistry;
import org.sequoiashunt.membership.DomainSummary;
import org.sequoiashunt.store.StoreException;

/**
 * Keeps the committed configuration and the summaries of failure domains in memory, for tests and trials. Each call
 * counts as a call of the given store and fails when that store fails. {@link #awaitHead} never blocks; with a positive
 * wait it counts only if the head has changed.
 *
 * <p>Thread-safe: all state is guarded by the monitor of this object.
 */
public final class SimulatedPlatform implements ConfigurationSource, DomainRegistry {

    private final SimulatedStore store;
    private final SortedMap<String, DomainSummary> summaries = new TreeMap<>();
    private final Map<String, ServiceConfiguration> parts = new TreeMap<>();
    private ConfigurationHead head;

    /**
     * Creates a platform without configuration.
     *
     * @param store the store that counts the calls and decides whether they fail, not null.
     */
    public SimulatedPlatform(final SimulatedStore store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Commits a version of the configuration. Not counted as a call.
     *
     * @param newHead the head, not null; its version is used as the revision.
     * @param newParts the parts that are new, by digest, not null.
     */
    public synchronized void commit(final ConfigurationHead newHead, final Map<String, ServiceConfiguration> newParts) {
        parts.putAll(newParts);
        head = Objects.requireNonNull(newHead, "newHead");
    }

    @Override
    public synchronized Optional<RevisedHead> awaitHead(final long knownRevision, final long waitMs)
            throws StoreException {
        boolean changed = head != null && head.version() != knownRevision;
        if (!changed && waitMs > 0) {
            store.checkAvailable(false);
            return Optional.empty();
        }
        store.recordCall(false);
        if (!changed) {
            return Optional.empty();
        }
        return Optional.of(new RevisedHead(head.version(), head));
    }

    @Override
    public synchronized ServiceConfiguration readPart(final String digest)
            throws StoreException, ConfigurationException {
        store.recordCall(false);
        ServiceConfiguration part = parts.get(digest);
        if (part == null) {
            throw new ConfigurationException("configuration part '" + digest + "' does not exist");
        }
        return part;
    }

    @Override
    public synchronized Optional<DomainSummary> read(final String failureDomain) throws StoreException {
        store.recordCall(false);
        return Optional.ofNullable(summaries.get(failureDomain));
    }

    @Override
    public synchronized List<DomainSummary> readAll() throws StoreException {
        store.recordCall(false);
        return new ArrayList<>(summaries.values());
    }

    @Override
    public synchronized void write(final DomainSummary summary) throws StoreException {
        store.recordCall(true);
        summaries.put(summary.failureDomain(), summary);
    }
}
