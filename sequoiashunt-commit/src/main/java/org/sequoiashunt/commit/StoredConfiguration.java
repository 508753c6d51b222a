package org.sequoiashunt.commit;

import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.ConfigurationSource;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoreKeys;
import org.sequoiashunt.store.StoredValue;

/**
 * Reads the committed configuration from the platform's store. Stateless; as thread-safe as the store.
 */
public final class StoredConfiguration implements ConfigurationSource {

    private final Store store;
    private final CommitLog log;

    private StoredConfiguration(final Store store) {
        this.store = Objects.requireNonNull(store, "store");
        this.log = CommitLog.of(store);
    }

    /**
     * Creates a source that reads the given store.
     *
     * @param store the store to read, not null.
     * @return a new source, never null.
     */
    public static StoredConfiguration of(final Store store) {
        return new StoredConfiguration(store);
    }

    @Override
    public Optional<RevisedHead> awaitHead(final long knownRevision, final long waitMs)
            throws StoreException, ConfigurationException {
        if (waitMs < 0) {
            throw new IllegalArgumentException("waitMs must not be negative: " + waitMs);
        }
        Optional<StoredValue> value = waitMs == 0
                ? store.read(StoreKeys.CONFIGURATION_HEAD_KEY).filter(present -> present.revision() != knownRevision)
                : store.watch(StoreKeys.CONFIGURATION_HEAD_KEY, knownRevision, waitMs);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        CommitLog.StoredHead head = CommitLog.parseHead(value.get());
        CommitRecord record = log.readRecord(head.document().record());
        if (record.version() != head.document().version()) {
            throw new ConfigurationException("the head names version "
                    + head.document().version() + " but its record holds " + record.version());
        }
        return Optional.of(new RevisedHead(head.revision(), record.toHead()));
    }

    @Override
    public ServiceConfiguration readPart(final String digest) throws StoreException, ConfigurationException {
        return log.readPart(digest);
    }
}
