package org.sequoiashunt.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.util.Objects;
import java.util.function.Supplier;
import org.sequoiashunt.gate.NodeGate;

/**
 * Serves the admin address: announcements of targets, the status and the metrics of the node.
 *
 * <ul>
 *   <li>{@code PUT /targets/NAME} announces a target or renews its announcement;
 *   <li>{@code DELETE /targets/NAME} withdraws it;
 *   <li>{@code GET /status} and {@code GET /metrics} return JSON;
 *   <li>{@code GET /ready} returns 200 once a configuration is in force, 503 before.
 * </ul>
 *
 * <p>Thread-safe; never blocks.
 */
public final class AdminHandler implements HttpHandler {

    private static final String TARGETS_PATH = "/targets/";
    private static final int MAXIMUM_ANNOUNCEMENT_BYTES = 16_384;

    private final NodeGate gate;
    private final Supplier<NodeStatus> status;
    private final Supplier<Object> metrics;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Creates a handler.
     *
     * @param gate receives announcements and withdrawals of targets, not null.
     * @param status returns the status of the node, not null.
     * @param metrics returns the metrics as a tree of maps, not null.
     */
    public AdminHandler(final NodeGate gate, final Supplier<NodeStatus> status, final Supplier<Object> metrics) {
        this.gate = Objects.requireNonNull(gate, "gate");
        this.status = Objects.requireNonNull(status, "status");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        String method = exchange.getRequestMethod().toString();
        if (path.startsWith(TARGETS_PATH)) {
            handleTarget(exchange, method, path.substring(TARGETS_PATH.length()));
        } else if (method.equals("GET") && path.equals("/status")) {
            sendJson(exchange, status.get());
        } else if (method.equals("GET") && path.equals("/metrics")) {
            sendJson(exchange, metrics.get());
        } else if (method.equals("GET") && path.equals("/ready")) {
            boolean ready = status.get().configurationVersion() > 0;
            sendText(exchange, ready ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE, ready ? "ready" : "starting");
        } else {
            sendText(exchange, StatusCodes.NOT_FOUND, "unknown path");
        }
    }

    private void handleTarget(final HttpServerExchange exchange, final String method, final String target) {
        switch (method) {
            case "PUT" -> receiveAnnouncement(exchange, target);
            case "DELETE" -> {
                gate.withdraw(target);
                sendText(exchange, StatusCodes.ACCEPTED, "draining");
            }
            default -> sendText(exchange, StatusCodes.METHOD_NOT_ALLOWED, "expected PUT or DELETE");
        }
    }

    private void receiveAnnouncement(final HttpServerExchange exchange, final String target) {
        exchange.setMaxEntitySize(MAXIMUM_ANNOUNCEMENT_BYTES);
        exchange.getRequestReceiver().setMaxBufferSize(MAXIMUM_ANNOUNCEMENT_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, bytes) -> announce(received, target, bytes),
                        (failed, exception) ->
                                sendText(failed, StatusCodes.REQUEST_ENTITY_TOO_LARGE, "announcement too large"));
    }

    private void announce(final HttpServerExchange exchange, final String target, final byte[] bytes) {
        try {
            boolean accepted = gate.announce(AnnouncementReader.parse(mapper, target, bytes));
            if (accepted) {
                sendText(exchange, StatusCodes.OK, "announced");
            } else {
                sendText(exchange, StatusCodes.CONFLICT, "not accepted: the target or its node is leaving");
            }
        } catch (AnnouncementException exception) {
            sendText(exchange, StatusCodes.BAD_REQUEST, exception.getMessage());
        }
    }

    private void sendJson(final HttpServerExchange exchange, final Object value) {
        try {
            String text = mapper.writerWithDefaultPrettyPrinter().writeValueAsString(value);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender().send(text + "\n");
        } catch (JsonProcessingException exception) {
            sendText(exchange, StatusCodes.INTERNAL_SERVER_ERROR, "not representable");
        }
    }

    private static void sendText(final HttpServerExchange exchange, final int statusCode, final String text) {
        exchange.setStatusCode(statusCode);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
        exchange.getResponseSender().send(text + "\n");
    }
}
