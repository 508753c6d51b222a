package org.sequoiashunt.configuration;

import java.util.Objects;
import java.util.Set;

/**
 * Route of a service: which requests it matches and how they are treated.
 *
 * <p>Immutable and thread-safe. Invariants: the path prefix starts with a slash, the methods are upper case and not
 * empty, the timeout is positive.
 *
 * @param name the name, unique within the service.
 * @param pathPrefix the prefix of matching paths, compared by whole segments.
 * @param methods the HTTP methods that match, in upper case.
 * @param idempotent whether running a request twice does no harm.
 * @param timeoutMs the maximum duration of a call, in milliseconds, positive.
 */
public record Route(String name, String pathPrefix, Set<String> methods, boolean idempotent, long timeoutMs) {

    /**
     * Checks the components and copies the set.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if a component breaks an invariant.
     */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        methods = Set.copyOf(methods);
        if (!pathPrefix.startsWith("/")) {
            throw new IllegalArgumentException("pathPrefix must start with a slash: " + pathPrefix);
        }
        if (methods.isEmpty()) {
            throw new IllegalArgumentException("methods must not be empty");
        }
        if (timeoutMs < 1) {
            throw new IllegalArgumentException("timeoutMs must be positive: " + timeoutMs);
        }
    }

    /**
     * Tells whether this route matches a request.
     *
     * @param method the HTTP method, not null.
     * @param path the path without query, not null.
     * @return true if method and path match.
     */
    public boolean matches(final String method, final String path) {
        return methods.contains(method) && matchesPath(path);
    }

    private boolean matchesPath(final String path) {
        if (!path.startsWith(pathPrefix)) {
            return false;
        }
        return pathPrefix.endsWith("/")
                || path.length() == pathPrefix.length()
                || path.charAt(pathPrefix.length()) == '/';
    }
}
