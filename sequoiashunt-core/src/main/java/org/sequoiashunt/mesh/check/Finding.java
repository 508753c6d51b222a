package org.sequoiashunt.mesh.check;

import java.util.Objects;

/**
 * One fault in a configuration.
 *
 * <p>Immutable and thread-safe. Invariant: no component holds a key of an organisation.
 *
 * @param severity how much of the configuration is lost.
 * @param check the name of the check, the same in all versions of the product.
 * @param place the entry that has the fault.
 * @param problem what is wrong.
 * @param action what to do.
 */
public record Finding(Severity severity, String check, String place, String problem, String action) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public Finding {
        Objects.requireNonNull(severity, "severity");
        Objects.requireNonNull(check, "check");
        Objects.requireNonNull(place, "place");
        Objects.requireNonNull(problem, "problem");
        Objects.requireNonNull(action, "action");
    }

    /**
     * Creates an error from a reason that begins with the entry and a colon, as reasons of omissions do.
     *
     * @param check the name of the check, not null.
     * @param reason the reason, not null.
     * @param action what to do, not null.
     * @return the finding; its place is the document if the reason begins with no route, service or organisation.
     */
    public static Finding errorOf(final String check, final String reason, final String action) {
        int colon = reason.indexOf(": ");
        boolean hasPlace = colon > 0 && reason.matches("(?s)(route|service|organisation) .*");
        return new Finding(
                Severity.ERROR,
                check,
                hasPlace ? reason.substring(0, colon) : "document",
                hasPlace ? reason.substring(colon + 2) : reason,
                action);
    }

    static Finding warning(final String check, final String place, final String problem, final String action) {
        return new Finding(Severity.WARNING, check, place, problem, action);
    }
}
