package org.sequoiashunt.lifecycle;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * Collects resources and closes them in reverse order of registration.
 *
 * <p>Register each resource as soon as it is opened, then close the closer once:
 *
 * <pre>{@code
 * Closer closer = new Closer();
 * Server server = closer.register(Server.open(settings));
 * closer.close();
 * }</pre>
 *
 * <p>Thread-safe. Invariants: every resource is closed exactly once, even if closing another one fails; a resource
 * registered after {@link #close()} is closed at once.
 */
public final class Closer implements AutoCloseable {

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private boolean closed;

    /**
     * Adds a resource.
     *
     * @param <T> the type of the resource.
     * @param resource the resource to close later, never null.
     * @return {@code resource}.
     * @throws NullPointerException if {@code resource} is null.
     * @throws IllegalStateException if this closer is already closed; the resource has then been closed as well.
     */
    public <T extends AutoCloseable> T register(final T resource) {
        Objects.requireNonNull(resource, "resource");
        synchronized (this) {
            if (!closed) {
                resources.push(resource);
                return resource;
            }
        }
        IllegalStateException failure = new IllegalStateException("the closer is closed");
        closeResource(resource, failure);
        throw failure;
    }

    /**
     * Closes all resources, the most recently registered first. A second call does nothing.
     *
     * @throws ResourceCloseException if one or more resources failed to close; the others are closed nevertheless;
     *     the failures are its suppressed exceptions.
     */
    @Override
    public void close() throws ResourceCloseException {
        Deque<AutoCloseable> remaining;
        synchronized (this) {
            closed = true;
            remaining = new ArrayDeque<>(resources);
            resources.clear();
        }
        ResourceCloseException failure = new ResourceCloseException("one or more resources failed to close");
        remaining.forEach(resource -> closeResource(resource, failure));
        if (failure.getSuppressed().length > 0) {
            throw failure;
        }
    }

    private static void closeResource(final AutoCloseable resource, final Exception failure) {
        try {
            resource.close();
        } catch (Exception exception) {
            failure.addSuppressed(exception);
        }
    }
}
