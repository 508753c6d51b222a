package org.sequoiashunt.configuration;

import java.util.Optional;
import org.sequoiashunt.store.StoreException;

/**
 * Reads the committed configuration from the platform's store. Calls block. Implementations are thread-safe.
 */
public interface ConfigurationSource {

    /**
     * Waits for the head to change.
     *
     * @param knownRevision the revision of the head that the caller read last, zero for none.
     * @param waitMs the maximum wait in milliseconds; zero reads without waiting.
     * @return the head if its revision differs from {@code knownRevision}, or empty.
     * @throws StoreException if the store did not answer.
     * @throws ConfigurationException if the store holds a head that cannot be read.
     */
    Optional<RevisedHead> awaitHead(long knownRevision, long waitMs) throws StoreException, ConfigurationException;

    /**
     * Reads the configuration of one service.
     *
     * @param digest the digest that the head names, not null.
     * @return the configuration, never null.
     * @throws StoreException if the store did not answer.
     * @throws ConfigurationException if the part is missing, cannot be read or does not match its digest.
     */
    ServiceConfiguration readPart(String digest) throws StoreException, ConfigurationException;

    /**
     * Head of the configuration with the store's revision of it. Immutable and thread-safe.
     *
     * @param revision the store's revision.
     * @param head the head.
     */
    record RevisedHead(long revision, ConfigurationHead head) {}
}
