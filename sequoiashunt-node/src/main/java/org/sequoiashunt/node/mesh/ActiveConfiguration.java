package org.sequoiashunt.node.mesh;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.mesh.MeshConfiguration;
import org.sequoiashunt.mesh.MeshPlatform;
import org.sequoiashunt.mesh.ServiceSettings;
import org.sequoiashunt.organisation.RateLimit;
import org.sequoiashunt.placement.PlacementPolicy;
import org.sequoiashunt.slot.WarmupRule;

/**
 * Holds the active configuration and the document from which it was decoded.
 *
 * <p>Thread-safe: updates are guarded by this object's monitor; reads take no lock. Invariants: the version never
 * decreases; a document that cannot be decoded as a whole changes nothing.
 */
final class ActiveConfiguration {

    /** Most entries of one version whose omission is logged; the line of the version is written in any case. */
    private static final int MAXIMUM_LOGGED_OMISSIONS = 20;

    private final MeshPlatform platform;
    private final DecisionLog log;
    private volatile ActiveVersion active;

    ActiveConfiguration(final MeshPlatform platform, final DecisionLog log) {
        this.platform = Objects.requireNonNull(platform, "platform");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Returns the limit on the cold targets of a service, none if there is no configuration. */
    WarmupRule warmupRuleOf(final String service) {
        ServiceSettings settings =
                current().map(decoded -> decoded.serviceSettings(service)).orElse(ServiceSettings.DEFAULT);
        return new WarmupRule(settings.warmupMs(), settings.warmupRequestsPerSecond());
    }

    /**
     * Activates a document if its version is higher than the active one. An invalid document is logged and ignored.
     *
     * @param document the encoded configuration, not null.
     * @param source the sender of the document as it appears in the log, not null.
     * @return true if this call activated the document.
     */
    synchronized boolean activateIfNewer(final Body document, final String source) {
        if (active != null && active.document().equals(document)) {
            return false;
        }
        try {
            MeshConfiguration decoded = platform.decode(document);
            if (decoded.version() <= version()) {
                return false;
            }
            long previousVersion = version();
            active = new ActiveVersion(decoded, document);
            log.log(
                    LogKind.CONFIGURATION,
                    "outcome",
                    "in force",
                    "version",
                    decoded.version(),
                    "before",
                    previousVersion,
                    "routes",
                    decoded.routeCount(),
                    "omitted",
                    decoded.omissions().size(),
                    "organisations",
                    decoded.organisations().size(),
                    "source",
                    source);
            decoded.omissions().stream()
                    .limit(MAXIMUM_LOGGED_OMISSIONS)
                    .forEach(omission ->
                            log.log(LogKind.CONFIGURATION_ENTRY, "version", decoded.version(), "omitted", omission));
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

    /** Returns the active configuration, or empty before the first activation. */
    Optional<MeshConfiguration> current() {
        ActiveVersion snapshot = active;
        return snapshot == null ? Optional.empty() : Optional.of(snapshot.configuration());
    }

    /** Returns whether the active configuration calls for fair shares of the slots of targets. */
    boolean usesFairShares() {
        return current().map(MeshConfiguration::usesFairShares).orElse(false);
    }

    /** Returns whether the active configuration binds requests to regions, so that evacuations have to be known. */
    boolean bindsToRegions() {
        return current().map(MeshConfiguration::bindsToRegions).orElse(false);
    }

    /** Returns whether the active configuration lets calls of a route to a silent target be given up. */
    boolean givesUpSilentCalls(final String route) {
        return current().map(decoded -> decoded.givesUpSilentCalls(route)).orElse(false);
    }

    /**
     * Returns the policy by which targets are chosen: the stated one, if there is one. Without one, loads count as old
     * where organisations or large bodies share targets, since they change faster there than reports arrive.
     */
    PlacementPolicy placement(final Optional<PlacementPolicy> stated) {
        return stated.orElse(usesFairShares() ? PlacementPolicy.EVEN : PlacementPolicy.LOWEST_COST);
    }

    /** Returns the limits of organisations, the same map until another configuration is activated. */
    Map<String, RateLimit> limits() {
        ActiveVersion snapshot = active;
        return snapshot == null
                ? Map.of()
                : snapshot.configuration().organisations().limits();
    }

    /** Returns the document of the active configuration, or empty before the first activation. */
    Optional<Body> document() {
        ActiveVersion snapshot = active;
        return snapshot == null ? Optional.empty() : Optional.of(snapshot.document());
    }

    /** Returns the active version, or 0 before the first activation. */
    long version() {
        ActiveVersion snapshot = active;
        return snapshot == null ? 0 : snapshot.configuration().version();
    }

    /** Pairs a configuration with the document from which it was decoded. Immutable and thread-safe. */
    private record ActiveVersion(MeshConfiguration configuration, Body document) {}
}
