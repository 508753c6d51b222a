package org.sequoiashunt.trial.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.http.HttpRequest;
import org.sequoiashunt.http.PooledHttpClient;

/**
 * Reads the status and metrics pages of nodes. Thread-safe.
 */
public final class NodePages {

    private static final long TIMEOUT_MS = 2_000;

    private final PooledHttpClient httpClient;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Creates a reader.
     *
     * @param httpClient sends the requests, not null.
     */
    public NodePages(final PooledHttpClient httpClient) {
        this.httpClient = Objects.requireNonNull(httpClient, "httpClient");
    }

    /**
     * Reads the status page of a node.
     *
     * @param plan the node, not null.
     * @return the page, never null.
     * @throws IOException if the node does not answer.
     * @throws InterruptedException if the thread is interrupted.
     */
    public JsonNode status(final NodePlan plan) throws IOException, InterruptedException {
        return read(plan, "/status");
    }

    /**
     * Reads the metrics page of a node.
     *
     * @param plan the node, not null.
     * @return the page, never null.
     * @throws IOException if the node does not answer.
     * @throws InterruptedException if the thread is interrupted.
     */
    public JsonNode metrics(final NodePlan plan) throws IOException, InterruptedException {
        return read(plan, "/metrics");
    }

    private JsonNode read(final NodePlan plan, final String path) throws IOException, InterruptedException {
        HttpRequest request = new HttpRequest("GET", path, List.of(), Body.EMPTY, true);
        try {
            CallResponse answer =
                    httpClient.send(plan.admin(), request, TIMEOUT_MS).get(TIMEOUT_MS * 2, TimeUnit.MILLISECONDS);
            return mapper.readTree(answer.body().bytes());
        } catch (ExecutionException | TimeoutException exception) {
            throw new IOException("no answer from " + plan.name(), exception);
        }
    }
}
