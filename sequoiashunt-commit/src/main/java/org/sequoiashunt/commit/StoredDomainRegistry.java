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
 * <p>A summary replaces an older one. A summary that is a little newer stays: its writer is the present lead and the
 * other one was paused. A summary from further ahead is replaced, as its writer's clock was wrong. A value that cannot
 * be read is reported and never overwritten. Thread-safe as far as the store is; holds no state.
 */
public final class StoredDomainRegistry implements DomainRegistry {

    /** Largest difference between a summary and a newer one that is not put down to a wrong clock. */
    private static final long PLAUSIBLE_LEAD_MS = 60_000;

    private static final int MAXIMUM_ATTEMPTS = 8;

    private final Store store;

    private StoredDomainRegistry(final Store store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Creates a register.
     *
     * @param store the store, not null.
     * @return a new register, never null.
     */
    public static StoredDomainRegistry of(final Store store) {
        return new StoredDomainRegistry(store);
    }

    @Override
    public Optional<DomainSummary> read(final String failureDomain) throws StoreException {
        return find(failureDomain).map(RevisedDocument::document);
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
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            Optional<RevisedDocument<DomainSummary>> present = find(summary.failureDomain());
            if (present.isPresent() && isSuperseded(summary, present.get().document())) {
                return;
            }
            if (swap(summary, present.map(RevisedDocument::revision).orElse(Store.ABSENT_REVISION))) {
                return;
            }
        }
        throw new StoreException("too many changes at once of domain '" + summary.failureDomain() + "'", false);
    }

    private static boolean isSuperseded(final DomainSummary summary, final DomainSummary present) {
        long aheadMs = present.atMs() - summary.atMs();
        return aheadMs > 0 && aheadMs <= PLAUSIBLE_LEAD_MS;
    }

    private boolean swap(final DomainSummary summary, final long revision) throws StoreException {
        try {
            store.compareAndSwap(key(summary.failureDomain()), revision, JsonCodec.write(summary));
            return true;
        } catch (StoreConflictException conflict) {
            return false;
        }
    }

    private Optional<RevisedDocument<DomainSummary>> find(final String failureDomain) throws StoreException {
        return RevisedDocument.read(store, key(failureDomain), DomainSummary.class);
    }

    private static String key(final String failureDomain) {
        return StoreKeys.DOMAINS_PREFIX + Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
