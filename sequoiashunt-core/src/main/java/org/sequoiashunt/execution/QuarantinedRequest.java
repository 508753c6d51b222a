package org.sequoiashunt.execution;

import java.util.Objects;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.Section;

/**
 * Request that crashed targets and is refused until it expires. The entry's name is the fingerprint.
 *
 * <p>Immutable and thread-safe.
 *
 * @param fingerprint digest of method, path and body, or of the caller's key.
 * @param crashes how many targets it crashed.
 * @param expiresMs when the refusal ends, in milliseconds since the epoch.
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
