package org.sequoiashunt.commit;

import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoreKeys;
import org.sequoiashunt.store.StoredValue;

/**
 * Reads the chain of commits: the head, the records from the newest back to the first, and the parts that they name.
 *
 * <p>Start with {@link #readHead()}, then {@link #readRecord(String)} with the key that the head names, and follow
 * {@link CommitRecord#previous()} to older records. Stateless; as thread-safe as the store.
 */
public final class CommitLog {

    private final Store store;

    private CommitLog(final Store store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Creates a reader.
     *
     * @param store the store to read, not null.
     * @return a new reader, never null.
     */
    public static CommitLog of(final Store store) {
        return new CommitLog(store);
    }

    /**
     * Reads the head.
     *
     * @return the head, or empty if there was no commit.
     * @throws StoreException if the store did not answer.
     * @throws ConfigurationException if the head cannot be read.
     */
    public Optional<StoredHead> readHead() throws StoreException, ConfigurationException {
        Optional<StoredValue> value = store.read(StoreKeys.CONFIGURATION_HEAD_KEY);
        return value.isEmpty() ? Optional.empty() : Optional.of(parseHead(value.get()));
    }

    /**
     * Parses the value of the head key.
     *
     * @param value the value, not null.
     * @return the head, never null.
     * @throws ConfigurationException if the value cannot be read.
     */
    public static StoredHead parseHead(final StoredValue value) throws ConfigurationException {
        return new StoredHead(value.revision(), parse(value, HeadDocument.class));
    }

    /**
     * Reads the record of a commit.
     *
     * @param key the key, not null.
     * @return the record, never null.
     * @throws StoreException if the store did not answer.
     * @throws ConfigurationException if the record is missing or cannot be read.
     */
    public CommitRecord readRecord(final String key) throws StoreException, ConfigurationException {
        Optional<CommitRecord> record = findRecord(key);
        return record.orElseThrow(() -> new ConfigurationException("the store has no commit record '" + key + "'"));
    }

    /**
     * Reads the record of a commit if there is one.
     *
     * @param key the key, not null.
     * @return the record, or empty if the key does not exist.
     * @throws StoreException if the store did not answer.
     * @throws ConfigurationException if the record cannot be read.
     */
    public Optional<CommitRecord> findRecord(final String key) throws StoreException, ConfigurationException {
        Optional<StoredValue> value = store.read(key);
        return value.isEmpty() ? Optional.empty() : Optional.of(parse(value.get(), CommitRecord.class));
    }

    /**
     * Reads the configuration of a service.
     *
     * @param digest the digest of the part, not null.
     * @return the configuration, never null.
     * @throws StoreException if the store did not answer.
     * @throws ConfigurationException if the part is missing, cannot be read or has another digest.
     */
    public ServiceConfiguration readPart(final String digest) throws StoreException, ConfigurationException {
        Objects.requireNonNull(digest, "digest");
        Optional<StoredValue> value = store.read(StoreKeys.CONFIGURATION_PARTS_PREFIX + digest);
        if (value.isEmpty()) {
            throw new ConfigurationException("the store has no part " + digest);
        }
        return PartCodec.read(digest, value.get().bytes());
    }

    private static <T> T parse(final StoredValue value, final Class<T> type) throws ConfigurationException {
        try {
            return JsonCodec.read(value.bytes(), type);
        } catch (IOException exception) {
            throw new ConfigurationException(
                    "the value of '" + value.key() + "' cannot be read: " + exception.getMessage(), exception);
        }
    }

    /**
     * Head and the revision of its value in the store. Immutable and thread-safe.
     *
     * @param revision the revision of the head key in the store.
     * @param document the parsed head.
     */
    public record StoredHead(long revision, HeadDocument document) {}
}
