package org.sequoiashunt.node.mesh;

import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.mesh.MeshConfiguration;
import org.sequoiashunt.mesh.MeshPlatform;

/**
 * The configuration in force, with the document that it was made of.
 *
 * <p>Thread-safe: guarded by its own monitor; reading takes no lock. Invariant: the version only grows, and a document
 * that cannot be put in force as a whole changes nothing.
 */
final class ActiveConfiguration {

    private final MeshPlatform platform;
    private final DecisionLog log;
    private volatile ActiveVersion kept;

    ActiveConfiguration(final MeshPlatform platform, final DecisionLog log) {
        this.platform = Objects.requireNonNull(platform, "platform");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Puts a document in force unless the version in force is as new.
     *
     * @param document the document, not null.
     * @param source where it came from, for the log, not null.
     * @return true if it is in force now.
     */
    synchronized boolean offer(final Body document, final String source) {
        if (kept != null && kept.document().equals(document)) {
            return false;
        }
        try {
            MeshConfiguration latest = platform.decode(document);
            if (latest.version() <= version()) {
                return false;
            }
            long before = version();
            kept = new ActiveVersion(latest, document);
            log.log(
                    LogKind.CONFIGURATION,
                    "outcome",
                    "in force",
                    "version",
                    latest.version(),
                    "before",
                    before,
                    "routes",
                    latest.routeCount(),
                    "source",
                    source);
            return true;
        } catch (ConfigurationException exception) {
            log.log(
                    LogKind.CONFIGURATION,
                    "outcome",
                    "refused",
                    "inForce",
                    version(),
                    "reason",
                    exception.getMessage(),
                    "source",
                    source);
            return false;
        }
    }

    Optional<MeshConfiguration> current() {
        ActiveVersion known = kept;
        return known == null ? Optional.empty() : Optional.of(known.configuration());
    }

    Optional<Body> document() {
        ActiveVersion known = kept;
        return known == null ? Optional.empty() : Optional.of(known.document());
    }

    long version() {
        ActiveVersion known = kept;
        return known == null ? 0 : known.configuration().version();
    }

    /** A configuration and its document. Immutable and thread-safe. */
    private record ActiveVersion(MeshConfiguration configuration, Body document) {}
}
