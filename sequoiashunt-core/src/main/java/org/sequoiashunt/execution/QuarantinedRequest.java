package org.sequoiashunt.execution;

import java.util.Objects;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.Section;

/**
 * Blackboard entry that records how many targets a request has crashed. A suspect request has one crash; a quarantined
 * request has two or more and is refused until the entry expires; a cleared request has none. The name of the entry is
 * the fingerprint.
 *
 * <p>Immutable and thread-safe.
 *
 * @param fingerprint digest of the service with the caller's idempotency key, or with method, URI and body if the
 *     request
 *     has no key.
 * @param crashes number of targets that the request has crashed: zero if cleared.
 * @param expiresMs when the entry expires, in milliseconds since the epoch.
 */
public record QuarantinedRequest(String fingerprint, int crashes, long expiresMs) implements EntryValue {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the fingerprint is null.
     */
    public QuarantinedRequest {
        Objects.requireNonNull(fingerprint, "fingerprint");
    }

    @Override
    public Section section() {
        return Section.QUARANTINE;
    }
}
