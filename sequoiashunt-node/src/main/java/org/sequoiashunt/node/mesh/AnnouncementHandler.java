package org.sequoiashunt.node.mesh;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.slot.SlotGates;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.target.TargetDeparture;
import org.sequoiashunt.target.TargetRegistry;

/**
 * Handles the HTTP requests by which the targets of this VM announce their state or their departure.
 *
 * <p>Thread-safe. Invariant: once a target's departure has been acknowledged, its gate sends it no more requests, and
 * neither do later processes of this node.
 */
final class AnnouncementHandler implements HttpHandler {

    private static final int MAXIMUM_BODY_BYTES = 65_536;

    /** Time after which targets no longer wait for an acknowledgement. */
    private static final long BODY_TIMEOUT_MS = 1_000;

    private static final RequestBodyReceiver.Limits BODY_LIMITS =
            new RequestBodyReceiver.Limits(MAXIMUM_BODY_BYTES, BODY_TIMEOUT_MS);

    private final AnnouncementDecoder decoder;
    private final TargetRegistry registry;
    private final SlotGates gates;
    private final DepartureRecorder departures;
    private final CrashGuard crashGuard;
    private final Runnable onChange;
    private final DecisionLog log;

    AnnouncementHandler(
            final AnnouncementDecoder decoder,
            final TargetRegistry registry,
            final SlotGates gates,
            final DepartureRecorder departures,
            final CrashGuard crashGuard,
            final Runnable onChange,
            final DecisionLog log) {
        this.decoder = Objects.requireNonNull(decoder, "decoder");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.gates = Objects.requireNonNull(gates, "gates");
        this.departures = Objects.requireNonNull(departures, "departures");
        this.crashGuard = Objects.requireNonNull(crashGuard, "crashGuard");
        this.onChange = Objects.requireNonNull(onChange, "onChange");
        this.log = Objects.requireNonNull(log, "log");
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        String target = decoder.targetOf(exchange.getRequestPath());
        if (target == null) {
            respond(exchange, StatusCodes.NOT_FOUND, "{}");
            return;
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> RequestBodyReceiver.receive(exchange, BODY_LIMITS, new RequestBodyReceiver.Handler() {
                    @Override
                    public void handleBody(final byte[] body) {
                        AnnouncementHandler.this.handleBody(exchange, target, body);
                    }

                    @Override
                    public void handleRefusal(final InputRefusal refusal) {
                        respond(exchange, refusal.status(), "{}");
                    }
                }));
    }

    private void handleBody(final HttpServerExchange exchange, final String target, final byte[] body) {
        if (exchange.getRequestMethod().equals(Methods.PUT)) {
            handleAnnouncement(exchange, target, body);
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            handleDeparture(exchange, target, body);
        } else {
            respond(exchange, StatusCodes.METHOD_NOT_ALLOWED, "{}");
        }
    }

    private void handleAnnouncement(final HttpServerExchange exchange, final String target, final byte[] body) {
        try {
            TargetAnnouncement announcement = decoder.decode(target, body);
            TargetRegistry.Change change = registry.announce(announcement);
            if (change != TargetRegistry.Change.OUTDATED) {
                gates.update();
            }
            if (change != TargetRegistry.Change.REFRESHED) {
                logAnnouncement(announcement, change);
                if (change == TargetRegistry.Change.JOINED) {
                    crashGuard.recordJoined(announcement);
                } else if (change == TargetRegistry.Change.HELD) {
                    departures.targetHeld();
                }
                onChange.run();
            }
            acknowledge(exchange, target);
        } catch (AnnouncementRefusedException exception) {
            log.log(LogKind.ANNOUNCEMENT_IGNORED, "target", target, "reason", exception.getMessage());
            respond(exchange, StatusCodes.BAD_REQUEST, "{}");
        }
    }

    private void logAnnouncement(final TargetAnnouncement announcement, final TargetRegistry.Change change) {
        LogKind kind = change == TargetRegistry.Change.OUTDATED ? LogKind.ANNOUNCEMENT_IGNORED : LogKind.TARGET;
        log.log(
                kind,
                "target",
                announcement.target(),
                "change",
                change.name(),
                "service",
                announcement.service(),
                "version",
                announcement.version(),
                "slots",
                announcement.slots(),
                "address",
                announcement.address().toString(),
                "bornMs",
                announcement.startedAtMs(),
                "sequence",
                announcement.sequence(),
                "warmupLeftMs",
                announcement.warmupLeftMs());
    }

    private void handleDeparture(final HttpServerExchange exchange, final String target, final byte[] body) {
        boolean wasRegistered =
                registry.leave(target, decoder.decodeStartTimeMs(body)).isPresent();
        if (wasRegistered) {
            gates.update();
            onChange.run();
        }
        log.log(LogKind.TARGET, "target", target, "change", wasRegistered ? "LEFT" : "LEFT_UNKNOWN");
        acknowledge(exchange, target);
    }

    /** Acknowledges an announcement; if the target departs, only once its departure is known outside this process. */
    private void acknowledge(final HttpServerExchange exchange, final String target) {
        Optional<TargetDeparture> departure = registry.departureOf(target);
        if (departure.isEmpty()) {
            respond(exchange, StatusCodes.OK, "{}");
            return;
        }
        departures
                .record(departure.get())
                .thenAccept(mayAcknowledge ->
                        exchange.getIoThread().execute(() -> respondToDeparture(exchange, target, mayAcknowledge)));
    }

    private void respondToDeparture(
            final HttpServerExchange exchange, final String target, final boolean mayAcknowledge) {
        if (!mayAcknowledge) {
            log.log(LogKind.ANNOUNCEMENT_IGNORED, "target", target, "reason", "its departure could not be recorded");
        }
        respond(exchange, mayAcknowledge ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE, "{}");
    }

    private static void respond(final HttpServerExchange exchange, final int status, final String body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(body);
    }
}
