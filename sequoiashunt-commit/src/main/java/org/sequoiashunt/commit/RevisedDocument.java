package org.sequoiashunt.commit;

import java.io.IOException;
import java.util.Optional;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoredValue;

/**
 * JSON document from the store and the revision of its value. Immutable and thread-safe.
 *
 * @param <T> the type of the document.
 * @param revision the revision of the value in the store.
 * @param document the parsed document.
 */
record RevisedDocument<T>(long revision, T document) {

    static <T> Optional<RevisedDocument<T>> read(final Store store, final String key, final Class<T> type)
            throws StoreException {
        Optional<StoredValue> value = store.read(key);
        return value.isEmpty() ? Optional.empty() : Optional.of(parse(value.get(), type));
    }

    static <T> RevisedDocument<T> parse(final StoredValue value, final Class<T> type) throws StoreException {
        try {
            return new RevisedDocument<>(value.revision(), JsonCodec.read(value.bytes(), type));
        } catch (IOException exception) {
            throw new UnreadableValueException(value.key(), exception);
        }
    }
}
