package org.sequoiashunt.membership;

import java.util.List;
import java.util.Optional;
import org.sequoiashunt.store.StoreException;

/**
 * Summaries of failure domains as the platform's store holds them. Calls block. Implementations are thread-safe.
 */
public interface DomainRegistry {

    /**
     * Reads the summary of one failure domain.
     *
     * @param failureDomain the failure domain, not null.
     * @return the summary, or empty if none was written.
     * @throws StoreException if the store did not answer.
     */
    Optional<DomainSummary> read(String failureDomain) throws StoreException;

    /**
     * Reads the summaries of all failure domains.
     *
     * @return the summaries, ordered by failure domain.
     * @throws StoreException if the store did not answer.
     */
    List<DomainSummary> readAll() throws StoreException;

    /**
     * Writes the summary of a failure domain over the one before it.
     *
     * @param summary the summary, not null.
     * @throws StoreException if the store did not answer; the summary may have been written.
     */
    void write(DomainSummary summary) throws StoreException;
}
