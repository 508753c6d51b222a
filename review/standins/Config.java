package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Builds the operator's configuration. */
final class Config {

    private final List<Object> routes = new ArrayList<>();
    private final List<Object> services = new ArrayList<>();

    Config service(final String name) {
        services.add(List.of(name, "/healthz", 110, "h1", false));
        return this;
    }

    Config route(
            final String name,
            final String host,
            final String prefix,
            final boolean idempotent,
            final int timeoutMs,
            final int objectiveMs,
            final int priority,
            final int attempts,
            final String service) {
        routes.add(List.of(
                name,
                host,
                prefix,
                idempotent ? "idempotent" : "non_idempotent",
                timeoutMs,
                objectiveMs,
                priority,
                attempts,
                service));
        return this;
    }

    Map<String, Object> version(final long version) {
        return Json.map(
                "Version",
                version,
                "Routes",
                Json.map(
                        "Columns",
                        List.of(
                                "Name",
                                "Host",
                                "Prefix",
                                "Kind",
                                "TimeoutMs",
                                "TargetLatencyMs",
                                "Priority",
                                "Attempts",
                                "Service"),
                        "Rows",
                        routes),
                "Services",
                Json.map(
                        "Columns",
                        List.of("Name", "HealthCheckPath", "MaxConnections", "Protocol", "Tls"),
                        "Rows",
                        services),
                "Limits",
                Json.map(
                        "MaxHeaderBytes",
                        16384,
                        "MaxBodyBytes",
                        67108864,
                        "HeaderTimeoutMs",
                        3000,
                        "IdleTimeoutMs",
                        15000));
    }
}
