package org.sequoiashunt.commit;

import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Converts the configuration of a service to the bytes that are stored under their digest, and back.
 *
 * <p>Not instantiable; thread-safe. Invariant: equal configurations give equal bytes and so equal digests.
 */
public final class PartCodec {

    private static final String DIGEST_ALGORITHM = "SHA-256";

    private PartCodec() {}

    /**
     * Writes the configuration of a service as a part.
     *
     * @param configuration the configuration, not null.
     * @return canonical JSON in UTF-8, never null.
     */
    public static byte[] write(final ServiceConfiguration configuration) {
        Objects.requireNonNull(configuration, "configuration");
        return JsonCodec.write(PartDocument.of(configuration));
    }

    /**
     * Computes the digest under which a part is stored.
     *
     * @param part the bytes of the part, not null.
     * @return 64 hexadecimal digits in lower case.
     */
    public static String digest(final byte[] part) {
        Objects.requireNonNull(part, "part");
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance(DIGEST_ALGORITHM).digest(part));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform provides " + DIGEST_ALGORITHM, exception);
        }
    }

    /**
     * Computes the digest of a configuration.
     *
     * @param configuration the configuration, not null.
     * @return 64 hexadecimal digits in lower case.
     */
    public static String digest(final ServiceConfiguration configuration) {
        return digest(write(configuration));
    }

    /**
     * Reads a part and checks it against its digest.
     *
     * @param digest the digest that the part must have, not null.
     * @param part the bytes, not null.
     * @return the configuration, never null.
     * @throws ConfigurationException if the bytes have another digest or cannot be read.
     */
    public static ServiceConfiguration read(final String digest, final byte[] part) throws ConfigurationException {
        Objects.requireNonNull(digest, "digest");
        if (!digest(part).equals(digest)) {
            throw new ConfigurationException("part " + digest + " does not have this digest");
        }
        try {
            return JsonCodec.read(part, PartDocument.class).toConfiguration();
        } catch (IOException | IllegalArgumentException | NullPointerException exception) {
            throw new ConfigurationException(
                    "part " + digest + " cannot be read: " + exception.getMessage(), exception);
        }
    }

    /**
     * JSON form of a part. Immutable and thread-safe.
     *
     * @param service the name of the service.
     * @param version the version that has the traffic.
     * @param move the move, null if the service has none.
     * @param routes the routes, in the order in which they are tried.
     * @param homeGroups the names of the home groups.
     * @param formerHomeGroups the names of the home groups before their last change, empty if they are not checked.
     */
    private record PartDocument(
            String service,
            String version,
            MoveDocument move,
            List<RouteDocument> routes,
            List<String> homeGroups,

            List<String> formerHomeGroups) {

        private static PartDocument of(final ServiceConfiguration configuration) {
            return new PartDocument(
                    configuration.service(),
                    configuration.version(),
                    configuration.move().map(MoveDocument::of).orElse(null),
                    configuration.routes().stream().map(RouteDocument::of).toList(),
                    configuration.homeGroups(),
                    configuration.formerHomeGroups());
        }

        private ServiceConfiguration toConfiguration() {
            Optional<Move> present = Optional.ofNullable(move).map(MoveDocument::toMove);
            List<Route> read = routes.stream().map(RouteDocument::toRoute).toList();
            return new ServiceConfiguration(service, version, present, read, homeGroups, formerHomeGroups);
        }
    }

    /**
     * JSON form of a move. Immutable and thread-safe.
     *
     * @param from the version that has the traffic.
     * @param to the version that is to receive the traffic.
     * @param finishByMs the time by which the move must be finished, in milliseconds since the epoch.
     */
    private record MoveDocument(String from, String to, long finishByMs) {

        private static MoveDocument of(final Move move) {
            return new MoveDocument(move.from(), move.to(), move.finishByMs());
        }

        private Move toMove() {
            return new Move(from, to, finishByMs);
        }
    }

    /**
     * JSON form of a route. Immutable and thread-safe.
     *
     * @param name the name of the route.
     * @param pathPrefix the prefix of the request paths that match.
     * @param methods the HTTP methods that match, in alphabetical order.
     * @param idempotent whether a request may be executed more than once.
     * @param timeoutMs the longest time for one call, in milliseconds.
     */
    private record RouteDocument(
            String name, String pathPrefix, List<String> methods, boolean idempotent, long timeoutMs) {

        private static RouteDocument of(final Route route) {
            List<String> sorted = List.copyOf(new TreeSet<>(route.methods()));
            return new RouteDocument(route.name(), route.pathPrefix(), sorted, route.idempotent(), route.timeoutMs());
        }

        private Route toRoute() {
            return new Route(name, pathPrefix, Set.copyOf(methods), idempotent, timeoutMs);
        }
    }
}
