package org.sequoiashunt.lead;

import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.membership.DomainRegistry;
import org.sequoiashunt.membership.DomainSummary;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.replication.Contacts;
import org.sequoiashunt.store.StoreException;

/**
 * Reads the contacts of this node's failure domain from the store until the node has joined the other members. One
 * discovered member is not enough: two nodes that start together and see only each other must still find the rest. The
 * reads are spaced by exponential backoff with full jitter, so that many nodes starting at once stay below the store's
 * rate limit.
 *
 * <p>{@link #step()} is confined to one thread that may block.
 */
public final class BootstrapController implements BlockingTask {

    // With this base, 4,200 nodes that start at once read 1,400 times a second; the store allows 2,000 reads a second.
    private static final long BACKOFF_BASE_MS = 3_000;
    private static final long BACKOFF_MAXIMUM_MS = 8_000;
    private static final long JOINED_CHECK_PERIOD_MS = 1_000;

    private final NodeIdentity identity;
    private final DomainRegistry registry;
    private final Contacts contacts;
    private final BooleanSupplier hasJoined;
    private final Backoff backoff;
    private volatile ReadResult lastReadResult = new ReadResult(false, 0);
    private boolean firstPauseTaken;

    /**
     * Creates a controller.
     *
     * @param identity the node, not null.
     * @param registry the summaries of failure domains in the store, not null.
     * @param contacts receives the contacts that were read, not null.
     * @param hasJoined returns whether this node has joined the other members, not null.
     * @param random the random number generator, not null; used only by the thread that calls {@link #step()}.
     */
    public BootstrapController(
            final NodeIdentity identity,
            final DomainRegistry registry,
            final Contacts contacts,
            final BooleanSupplier hasJoined,
            final RandomGenerator random) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.contacts = Objects.requireNonNull(contacts, "contacts");
        this.hasJoined = Objects.requireNonNull(hasJoined, "hasJoined");
        this.backoff = new Backoff(BACKOFF_BASE_MS, BACKOFF_MAXIMUM_MS, random);
    }

    /**
     * Returns the result of the latest successful read.
     *
     * @return the result, never null; not answered and zero members before the first successful read.
     */
    public ReadResult lastReadResult() {
        return lastReadResult;
    }

    @Override
    public long step() {
        if (hasJoined.getAsBoolean()) {
            backoff.reset();
            return JOINED_CHECK_PERIOD_MS;
        }
        if (!firstPauseTaken) {
            firstPauseTaken = true;
            return backoff.nextPauseMs();
        }
        readContacts();
        return backoff.nextPauseMs();
    }

    private void readContacts() {
        try {
            Optional<DomainSummary> summary = registry.read(identity.failureDomain());
            lastReadResult =
                    new ReadResult(true, summary.map(DomainSummary::members).orElse(0));
            summary.ifPresent(domain -> contacts.add(domain.failureDomain(), domain.region(), domain.contacts()));
        } catch (StoreException exception) {
            // The contacts from the settings stay in use; the next step retries.
            firstPauseTaken = true;
        }
    }

    /**
     * Result of the latest successful read of the store. Immutable and thread-safe.
     *
     * @param answered whether the store has answered at least once.
     * @param members number of members when the lead last wrote the domain's summary, zero without a summary.
     */
    public record ReadResult(boolean answered, int memberCount) {}
}
