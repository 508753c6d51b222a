package org.sequoiashunt.fleet;

import java.util.Objects;

/**
 * What happened to a request: it was at work at a target that crashed, or a target answered it. Nodes pass these on
 * with their reports, so that all of them recognise a request that crashes targets.
 *
 * <p>Immutable and thread-safe. Invariant: the age is not negative.
 *
 * @param fingerprint identifies the request, not null; the same for each repetition of it.
 * @param incident identifies the crash, empty if the request was answered; not null.
 * @param ageMs the time since then when this record was made, in milliseconds.
 */
public record CrashRecord(String fingerprint, String incident, long ageMs) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the age is negative.
     */
    public CrashRecord {
        Objects.requireNonNull(fingerprint, "fingerprint");
        Objects.requireNonNull(incident, "incident");
        if (ageMs < 0) {
            throw new IllegalArgumentException("ageMs must not be negative: " + ageMs);
        }
    }

    /**
     * Returns whether the record says that the request was answered.
     *
     * @return true if no crash is named.
     */
    public boolean isAnswer() {
        return incident.isEmpty();
    }
}
