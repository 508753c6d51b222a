package org.sequoiashunt.node.mesh;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.Objects;
import org.sequoiashunt.slot.SlotGates;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.target.TargetRegistry;

/**
 * Takes the announcements of the targets beside this node.
 *
 * <p>Thread-safe. Invariant: once a target's leaving has been acknowledged, its gate sends it no more work.
 */
final class AnnouncementHandler implements HttpHandler {

    private static final int MAXIMUM_BODY_BYTES = 65_536;

    private final AnnouncementDecoder decoder;
    private final TargetRegistry register;
    private final SlotGates gates;
    private final Runnable changed;
    private final DecisionLog log;

    AnnouncementHandler(
            final AnnouncementDecoder decoder,
            final TargetRegistry register,
            final SlotGates gates,
            final Runnable changed,
            final DecisionLog log) {
        this.decoder = Objects.requireNonNull(decoder, "decoder");
        this.register = Objects.requireNonNull(register, "register");
        this.gates = Objects.requireNonNull(gates, "gates");
        this.changed = Objects.requireNonNull(changed, "changed");
        this.log = Objects.requireNonNull(log, "log");
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        String target = decoder.targetOf(exchange.getRequestPath());
        if (target == null) {
            end(exchange, StatusCodes.NOT_FOUND, "{}");
            return;
        }
        exchange.setMaxEntitySize(MAXIMUM_BODY_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> take(received, target, body),
                        (failed, exception) -> end(failed, StatusCodes.BAD_REQUEST, "{}"));
    }

    private void take(final HttpServerExchange exchange, final String target, final byte[] body) {
        if (exchange.getRequestMethod().equals(Methods.PUT)) {
            announce(exchange, target, body);
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            leave(exchange, target, body);
        } else {
            end(exchange, StatusCodes.METHOD_NOT_ALLOWED, "{}");
        }
    }

    private void announce(final HttpServerExchange exchange, final String target, final byte[] body) {
        try {
            TargetAnnouncement announcement = decoder.decode(target, body);
            TargetRegistry.Change change = register.announce(announcement);
            if (change != TargetRegistry.Change.OUTDATED) {
                gates.update();
            }
            if (change != TargetRegistry.Change.REFRESHED) {
                report(announcement, change);
                changed.run();
            }
            end(exchange, StatusCodes.OK, "{}");
        } catch (AnnouncementRefusedException exception) {
            log.log(LogKind.ANNOUNCEMENT_IGNORED, "target", target, "reason", exception.getMessage());
            end(exchange, StatusCodes.BAD_REQUEST, "{}");
        }
    }

    private void report(final TargetAnnouncement announcement, final TargetRegistry.Change change) {
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

    private void leave(final HttpServerExchange exchange, final String target, final byte[] body) {
        boolean left = register.leave(target, decoder.bornMs(body)).isPresent();
        if (left) {
            gates.update();
            changed.run();
        }
        log.log(LogKind.TARGET, "target", target, "change", left ? "LEFT" : "LEFT_UNKNOWN");
        end(exchange, StatusCodes.OK, "{}");
    }

    private static void end(final HttpServerExchange exchange, final int status, final String body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(body);
    }
}
