package org.sequoiashunt.commit;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.execution.ClaimTiming;
import org.sequoiashunt.store.StoreException;

/**
 * Refuses commits after which one key could be claimed in two home groups at the same time.
 *
 * <p>A service whose home groups change must name the former ones, so that claims are checked against them as well.
 * They may be removed only when claims made before the change are no longer retained, and the home groups may change
 * again only after that.
 *
 * <p>Confined to one thread; one instance checks one commit.
 */
final class HomeGroupChangeValidator {

    /** Time within which every node applies a committed change. */
    private static final long MAXIMUM_ADOPTION_MS = 60_000;

    /** Time for which former home groups must be named after a change, in milliseconds. */
    static final long FORMER_GROUPS_RETENTION_MS = ClaimTiming.defaults().retentionMs() + MAXIMUM_ADOPTION_MS;

    private static final long MS_PER_SECOND = 1_000;

    private final CommitLog log;
    private final long nowMs;
    private final StoreRetry retry;

    HomeGroupChangeValidator(final CommitLog log, final long nowMs, final StoreRetry retry) {
        this.log = Objects.requireNonNull(log, "log");
        this.nowMs = nowMs;
        this.retry = Objects.requireNonNull(retry, "retry");
    }

    /**
     * Checks a commit against the accepted one.
     *
     * @param current the record of the accepted commit, not null.
     * @param services the services to commit, not null.
     * @throws ConfigurationException if a service changes its home groups unsafely.
     * @throws StoreException if the store did not answer.
     */
    void check(final CommitRecord current, final Map<String, ServiceConfiguration> services)
            throws ConfigurationException, StoreException {
        for (ServiceConfiguration after : services.values()) {
            String digest = current.parts().get(after.service());
            if (digest != null && !digest.equals(PartCodec.digest(after))) {
                ServiceConfiguration before = retry.call(() -> log.readPart(digest));
                check(current, before, after);
            }
        }
    }

    private void check(final CommitRecord current, final ServiceConfiguration before, final ServiceConfiguration after)
            throws ConfigurationException, StoreException {
        boolean moved = !before.homeGroups().equals(after.homeGroups());
        boolean dropped = !before.formerHomeGroups().equals(after.formerHomeGroups());
        if (moved && !before.formerHomeGroups().isEmpty()) {
            throw refusal(after, "homeGroups", "changed before; drop formerHomeGroups first, in a commit of its own");
        }
        if (moved && !after.formerHomeGroups().equals(before.homeGroups())) {
            throw refusal(after, "formerHomeGroups", "must be " + before.homeGroups() + ", since homeGroups changes");
        }
        if (!moved && dropped) {
            checkRemoval(current, before, after);
        }
    }

    private void checkRemoval(
            final CommitRecord current, final ServiceConfiguration before, final ServiceConfiguration after)
            throws ConfigurationException, StoreException {
        if (!after.formerHomeGroups().isEmpty()) {
            throw refusal(after, "formerHomeGroups", "may only be dropped, or follow a change of homeGroups");
        }
        long remainingMs = FORMER_GROUPS_RETENTION_MS - (nowMs - formerGroupsSinceMs(current, before));
        if (remainingMs > 0) {
            long seconds = (remainingMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
            throw refusal(after, "formerHomeGroups", "must stay for another " + seconds + " s");
        }
    }

    /** Searches for the commit that first named the former groups, back to the first record that is old enough. */
    private long formerGroupsSinceMs(final CommitRecord current, final ServiceConfiguration configuration)
            throws ConfigurationException, StoreException {
        CommitRecord record = current;
        while (record.previous() != null && nowMs - record.atMs() < FORMER_GROUPS_RETENTION_MS) {
            String key = record.previous();
            CommitRecord previous = retry.call(() -> log.readRecord(key));
            String digest = previous.parts().get(configuration.service());
            if (digest == null || !formerGroups(digest).equals(configuration.formerHomeGroups())) {
                return record.atMs();
            }
            record = previous;
        }
        return record.atMs();
    }

    private List<String> formerGroups(final String digest) throws ConfigurationException, StoreException {
        return retry.call(() -> log.readPart(digest)).formerHomeGroups();
    }

    private static ConfigurationException refusal(
            final ServiceConfiguration service, final String key, final String reason) {
        return new ConfigurationException("services." + service.service() + "." + key + ": " + reason);
    }
}
