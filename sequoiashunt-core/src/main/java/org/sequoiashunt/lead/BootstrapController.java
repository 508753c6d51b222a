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
 * Reads the contacts of this node's failure domain from the store until the node has found the others. Knowing some
 * member is not enough: two nodes that start together and know only each other must still find the rest. Pauses with
 * full jitter, so that the return of a herd stays below the store's rates.
 *
 * <p>{@link #step()} is confined to one thread that may block.
 */
public final class BootstrapController implements BlockingTask {

    // 4,200 nodes that start at once ask 1,400 times a second, below the store's 2,000 reads.
    private static final long BACKOFF_BASE_MS = 3_000;
    private static final long BACKOFF_MAXIMUM_MS = 8_000;
    private static final long JOINED_MS = 1_000;

    private final NodeIdentity identity;
    private final DomainRegistry register;
    private final Contacts contacts;
    private final BooleanSupplier joined;
    private final Backoff backoff;
    private volatile Reading reading = new Reading(false, 0);
    private boolean started;

    /**
     * Creates a controller.
     *
     * @param identity the node, not null.
     * @param register the summaries in the store, not null.
     * @param contacts takes what was read, not null.
     * @param joined tells whether this node has found the others, not null.
     * @param random the source of chance, not null; used by this object's thread alone.
     */
    public BootstrapController(
            final NodeIdentity identity,
            final DomainRegistry register,
            final Contacts contacts,
            final BooleanSupplier joined,
            final RandomGenerator random) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.register = Objects.requireNonNull(register, "register");
        this.contacts = Objects.requireNonNull(contacts, "contacts");
        this.joined = Objects.requireNonNull(joined, "joined");
        this.backoff = new Backoff(BACKOFF_BASE_MS, BACKOFF_MAXIMUM_MS, random);
    }

    /**
     * Returns what the store last answered.
     *
     * @return the reading, never null.
     */
    public Reading reading() {
        return reading;
    }

    @Override
    public long step() {
        if (joined.getAsBoolean()) {
            backoff.reset();
            return JOINED_MS;
        }
        if (!started) {
            started = true;
            return backoff.next();
        }
        readContacts();
        return backoff.next();
    }

    private void readContacts() {
        try {
            Optional<DomainSummary> summary = register.read(identity.failureDomain());
            reading = new Reading(true, summary.map(DomainSummary::members).orElse(0));
            summary.ifPresent(found -> contacts.add(found.failureDomain(), found.region(), found.contacts()));
        } catch (StoreException exception) {
            // Contacts from the settings remain; the next step tries again.
            started = true;
        }
    }

    /**
     * What the store last answered. Immutable and thread-safe.
     *
     * @param answered whether it has answered at all.
     * @param members how many members the failure domain had when its last lead wrote the summary, zero for none.
     */
    public record Reading(boolean answered, int members) {}
}
