package org.sequoiashunt.fleet;

/**
 * Mean duration of a target's requests on one route. Immutable and thread-safe.
 *
 * @param route the name of the route.
 * @param meanMs the mean time from sending the request to receiving the whole answer, in milliseconds.
 */
public record RouteTime(String route, int meanMs) {}
