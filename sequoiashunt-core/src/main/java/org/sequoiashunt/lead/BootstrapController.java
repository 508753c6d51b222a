package org.sequoiashunt.lead;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoiashunt.membership.DomainRegister;
import org.sequoiashunt.membership.DomainSummary;
import org.sequoiashunt.membership.MembershipView;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.replication.Contacts;
import org.sequoiashunt.store.StoreException;

/**
 * Reads the contacts of this node's failure domain from the store for as long as the node knows no other member. Pauses
 * with full jitter, so that the return of a herd stays below the store's rates.
 *
 * <p>{@link #step()} is confined to one thread that may block.
 */
public final class BootstrapController implements BlockingTask {

    private static final long BACKOFF_BASE_MS = 500;
    private static final long BACKOFF_MAXIMUM_MS = 8_000;
    private static final long JOINED_MS = 1_000;

    private final NodeIdentity identity;
    private final DomainRegister register;
    private final Contacts contacts;
    private final Supplier<MembershipView> views;
    private final Backoff backoff;
    private boolean started;

    /**
     * Creates a controller.
     *
     * @param identity the node, not null.
     * @param register the summaries in the store, not null.
     * @param contacts takes what was read, not null.
     * @param views gives the present view of the members, not null.
     * @param random the source of chance, not null; used by this object's thread alone.
     */
    public BootstrapController(
            final NodeIdentity identity,
            final DomainRegister register,
            final Contacts contacts,
            final Supplier<MembershipView> views,
            final RandomGenerator random) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.register = Objects.requireNonNull(register, "register");
        this.contacts = Objects.requireNonNull(contacts, "contacts");
        this.views = Objects.requireNonNull(views, "views");
        this.backoff = new Backoff(BACKOFF_BASE_MS, BACKOFF_MAXIMUM_MS, random);
    }

    @Override
    public long step() {
        if (views.get().ranked(identity.failureDomain()).size() > 1) {
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
            summary.ifPresent(found -> contacts.add(found.failureDomain(), found.region(), found.contacts()));
        } catch (StoreException exception) {
            // Contacts from the settings remain; the next step tries again.
            started = true;
        }
    }
}
