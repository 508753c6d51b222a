package org.sequoiashunt.mesh.check;

/**
 * Severity of a finding in a configuration.
 *
 * <p>Immutable and thread-safe.
 */
public enum Severity {
    /** The configuration, or the entry, does not come into force. */
    ERROR,
    /** The entry comes into force but cannot have the effect that it states. */
    WARNING
}
