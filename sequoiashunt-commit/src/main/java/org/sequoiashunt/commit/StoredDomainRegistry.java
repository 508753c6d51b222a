package org.sequoiashunt.commit;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.membership.DomainRegistry;
import org.sequoiashunt.membership.DomainSummary;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreConflictException;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoreKeys;
import org.sequoiashunt.store.StoredValue;

/**
 * Summaries of failure domains in the platform's store, one value per domain.
 *
 * <p>A written summary replaces a stored one that is older. A stored summary that is newer by at most {@value
 * #MAXIMUM_CLOCK_DIFFERENCE_MS} ms is kept: the current lead wrote it, and the lead that writes the older one was
 * paused. A stored summary that is newer by more is replaced, as the clock of its writer was wrong. A stored value that
 * cannot be read is reported and never overwritten. Stateless; as thread-safe as the store.
 */
public final class StoredDomainRegistry implements DomainRegistry {

    /** Largest time by which a stored summary can be newer without its writer's clock counting as wrong. */
    private static final long MAXIMUM_CLOCK_DIFFERENCE_MS = 60_000;

    private static final int MAXIMUM_SWAP_ATTEMPTS = 8;

    private final Store store;

    private StoredDomainRegistry(final Store store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Creates a registry that reads and writes the given store.
     *
     * @param store the store, not null.
     * @return a new registry, never null.
     */
    public static StoredDomainRegistry of(final Store store) {
        return new StoredDomainRegistry(store);
    }

    @Override
    public Optional<DomainSummary> read(final String failureDomain) throws StoreException {
        return readRevised(failureDomain).map(RevisedDocument::document);
    }

    @Override
    public List<DomainSummary> readAll() throws StoreException {
        List<DomainSummary> summaries = new ArrayList<>();
        for (StoredValue value : store.list(StoreKeys.DOMAINS_PREFIX)) {
            summaries.add(RevisedDocument.parse(value, DomainSummary.class).document());
        }
        return summaries;
    }

    @Override
    public void write(final DomainSummary summary) throws StoreException {
        Objects.requireNonNull(summary, "summary");
        for (int attempt = 0; attempt < MAXIMUM_SWAP_ATTEMPTS; attempt++) {
            Optional<RevisedDocument<DomainSummary>> stored = readRevised(summary.failureDomain());
            if (stored.isPresent()
                    && isSlightlyOlderThanStored(summary, stored.get().document())) {
                return;
            }
            if (trySwap(summary, stored.map(RevisedDocument::revision).orElse(Store.ABSENT_REVISION))) {
                return;
            }
        }
        throw new StoreException(
                "the summary of failure domain '" + summary.failureDomain()
                        + "' was changed concurrently in every attempt",
                false);
    }

    private static boolean isSlightlyOlderThanStored(final DomainSummary summary, final DomainSummary stored) {
        long storedNewerByMs = stored.atMs() - summary.atMs();
        return storedNewerByMs > 0 && storedNewerByMs <= MAXIMUM_CLOCK_DIFFERENCE_MS;
    }

    private boolean trySwap(final DomainSummary summary, final long revision) throws StoreException {
        try {
            store.compareAndSwap(key(summary.failureDomain()), revision, JsonCodec.write(summary));
            return true;
        } catch (StoreConflictException conflict) {
            return false;
        }
    }

    private Optional<RevisedDocument<DomainSummary>> readRevised(final String failureDomain) throws StoreException {
        return RevisedDocument.read(store, key(failureDomain), DomainSummary.class);
    }

    private static String key(final String failureDomain) {
        return StoreKeys.DOMAINS_PREFIX + Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
