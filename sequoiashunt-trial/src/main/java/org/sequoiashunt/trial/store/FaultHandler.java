package org.sequoiashunt.trial.store;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.Optional;

/**
 * Switches faults over HTTP: {@code POST /faults?down=true&silent=true&latencyMs=500&loseAnswers=2&expireLeases=true}.
 * Parameters left out stay as they are. {@code GET} returns the state. Thread-safe; runs on I/O threads.
 */
final class FaultHandler implements HttpHandler {

    private final StoreFaults faults;

    FaultHandler(final StoreFaults faults) {
        this.faults = faults;
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        if (exchange.getRequestMethod().equals(Methods.POST)) {
            change(exchange);
        } else if (!exchange.getRequestMethod().equals(Methods.GET)) {
            Responses.sendStatus(exchange, StatusCodes.METHOD_NOT_ALLOWED);
            return;
        }
        Responses.sendDocument(exchange, new FaultState(faults.isDown(), faults.isSilent(), faults.latencyMs()));
    }

    private void change(final HttpServerExchange exchange) {
        flag(exchange, "down").ifPresent(faults::setDown);
        flag(exchange, "silent").ifPresent(faults::setSilent);
        Responses.numberParameter(exchange, "latencyMs").map(Long::intValue).ifPresent(faults::setLatencyMs);
        Responses.numberParameter(exchange, "loseAnswers").map(Long::intValue).ifPresent(faults::loseAnswers);
        if (flag(exchange, "expireLeases").orElse(false)) {
            faults.expireLeases();
        }
    }

    private static Optional<Boolean> flag(final HttpServerExchange exchange, final String name) {
        return Responses.parameter(exchange, name).map(Boolean::parseBoolean);
    }

    /**
     * State of the switches. Immutable and thread-safe.
     *
     * @param down whether calls are refused.
     * @param silent whether calls are left unanswered.
     * @param latencyMs the delay of each call, in milliseconds.
     */
    private record FaultState(boolean down, boolean silent, int latencyMs) {}
}
