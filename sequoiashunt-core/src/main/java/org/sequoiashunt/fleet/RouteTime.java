package org.sequoiashunt.fleet;

/**
 * How long a target takes for the requests of one route. Immutable and thread-safe.
 *
 * @param route the name of the route.
 * @param meanMs the mean time from sending to the whole answer, in milliseconds.
 */
public record RouteTime(String route, int meanMs) {}
