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
 * Committed configuration and summaries of failure domains in memory, for tests and trials. Calls count, and fail, with
 * those of the store given. The wait for a head never blocks, and counts
 * when it ends with a change.
 *
 * <p>Thread-safe: guarded by its own monitor.
 */
public final class SimulatedPlatform implements ConfigurationSource, DomainRegistry {

    private final SimulatedStore store;
    private final SortedMap<String, DomainSummary> summaries = new TreeMap<>();
    private final Map<String, ServiceConfiguration> parts = new TreeMap<>();
    private ConfigurationHead head;

    /**
     * Creates a platform without configuration.
     *
     * @param store the store with which calls count and fail, not null.
     */
    public SimulatedPlatform(final SimulatedStore store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Commits a version of the configuration. Not counted as a call.
     *
     * @param next the head, not null; its version is used as the revision.
     * @param nextParts the parts that are new, by digest, not null.
     */
    public synchronized void commit(final ConfigurationHead next, final Map<String, ServiceConfiguration> nextParts) {
        parts.putAll(nextParts);
        head = Objects.requireNonNull(next, "next");
    }

    @Override
    public synchronized Optional<RevisedHead> awaitHead(final long knownRevision, final long waitMs)
            throws StoreException {
        boolean changed = head != null && head.version() != knownRevision;
        if (!changed && waitMs > 0) {
            store.check(false);
            return Optional.empty();
        }
        store.begin(false);
        if (!changed) {
            return Optional.empty();
        }
        return Optional.of(new RevisedHead(head.version(), head));
    }

    @Override
    public synchronized ServiceConfiguration readPart(final String digest)
            throws StoreException, ConfigurationException {
        store.begin(false);
        ServiceConfiguration part = parts.get(digest);
        if (part == null) {
            throw new ConfigurationException("no part '" + digest + "'");
        }
        return part;
    }

    @Override
    public synchronized Optional<DomainSummary> read(final String failureDomain) throws StoreException {
        store.begin(false);
        return Optional.ofNullable(summaries.get(failureDomain));
    }

    @Override
    public synchronized List<DomainSummary> readAll() throws StoreException {
        store.begin(false);
        return new ArrayList<>(summaries.values());
    }

    @Override
    public synchronized void write(final DomainSummary summary) throws StoreException {
        store.begin(true);
        summaries.put(summary.failureDomain(), summary);
    }
}
