package org.sequoiashunt.node.mesh;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.Optional;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.organisation.OrganisationDirectory;

/**
 * Whether a request may use its route, and for which organisation it is made, by the key in its header
 * {@code Authorization}.
 *
 * <p>Immutable and thread-safe. Invariants: a request without a known key is permitted only if the configuration
 * defines no organisations or the route is anonymous; the key is not kept, and where keys are in use neither it nor the
 * organisation that a caller claims is passed on.
 */
final class CallerIdentification {

    private static final String SCHEME = "Bearer";

    private final boolean keysInUse;
    private final boolean permitted;
    private final Optional<Organisation> organisation;
    private final int rank;

    private CallerIdentification(
            final boolean keysInUse,
            final boolean permitted,
            final Optional<Organisation> organisation,
            final int rank) {
        this.keysInUse = keysInUse;
        this.permitted = permitted;
        this.organisation = organisation;
        this.rank = rank;
    }

    /**
     * Identifies the caller of a request.
     *
     * @param headers the headers of the request, not null.
     * @param route the route of the request, not null.
     * @param organisations the organisations of the same configuration, not null.
     * @return the identification, never null.
     */
    static CallerIdentification of(
            final HeaderMap headers, final MeshRoute route, final OrganisationDirectory organisations) {
        if (!organisations.requiresKeys()) {
            return new CallerIdentification(false, true, Optional.empty(), 0);
        }
        Optional<Organisation> organisation = keyOf(headers).flatMap(organisations::findByKey);
        return new CallerIdentification(
                true, route.anonymous() || organisation.isPresent(), organisation, organisations.rankOf(organisation));
    }

    /** Returns the key; empty if there is none, or several values of which another reader may take another one. */
    private static Optional<String> keyOf(final HeaderMap headers) {
        HeaderValues values = headers.get(Headers.AUTHORIZATION);
        if (values == null || values.size() != 1) {
            return Optional.empty();
        }
        String value = values.getFirst().trim();
        boolean hasScheme = value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
                && value.length() > SCHEME.length()
                && value.charAt(SCHEME.length()) == ' ';
        return hasScheme ? Optional.of(value.substring(SCHEME.length()).trim()) : Optional.empty();
    }

    /** Returns whether the request may use its route. */
    boolean permitted() {
        return permitted;
    }

    /** Returns the organisation that holds the key; empty for an anonymous request. */
    Optional<Organisation> organisation() {
        return organisation;
    }

    /** Returns the rank that takes precedence over the rank of the route; lower ranks are more urgent. */
    int rank() {
        return rank;
    }

    /** Returns whether a header of the request is not passed on. */
    boolean removesHeader(final String name, final String organisationHeader) {
        return keysInUse
                && (name.equalsIgnoreCase(Headers.AUTHORIZATION_STRING) || name.equalsIgnoreCase(organisationHeader));
    }
}
