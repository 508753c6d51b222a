package org.sequoiashunt.trial.target;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Announces a fake target to the node of its VM and renews the announcement periodically.
 *
 * <p>Thread-safe.
 */
public final class TargetAnnouncer implements AutoCloseable {

    private static final long RENEWAL_INTERVAL_MS = 500;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private final Announcement announcement;
    private final NodeAddress targetAddress;
    private final HttpClient http = HttpClient.newHttpClient();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "target-announcer");
        thread.setDaemon(true);
        return thread;
    });

    TargetAnnouncer(final Announcement announcement, final NodeAddress targetAddress) {
        this.announcement = announcement;
        this.targetAddress = targetAddress;
        scheduler.scheduleWithFixedDelay(this::announce, 0, RENEWAL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    NodeAddress targetAddress() {
        return targetAddress;
    }

    void withdraw() {
        scheduler.shutdownNow();
        send(request().DELETE().build());
    }

    private void announce() {
        String json = "{\"service\":\"%s\",\"version\":\"%s\",\"address\":\"%s\",\"slots\":%d,\"connections\":%d}"
                .formatted(
                        announcement.service(),
                        announcement.version(),
                        targetAddress,
                        announcement.slots(),
                        announcement.connections());
        send(request().PUT(HttpRequest.BodyPublishers.ofString(json)).build());
    }

    private HttpRequest.Builder request() {
        URI uri = URI.create("http://" + announcement.node() + "/targets/" + announcement.name());
        return HttpRequest.newBuilder(uri).timeout(REQUEST_TIMEOUT);
    }

    /** Ignores I/O errors: the node may not have started yet or may have crashed, and the next renewal tries again. */
    private void send(final HttpRequest request) {
        try {
            http.send(request, HttpResponse.BodyHandlers.discarding());
        } catch (IOException exception) {
            // The next renewal tries again.
            return;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    /**
     * Announced properties of a target. Immutable and thread-safe.
     *
     * @param node the admin address of the node of its VM.
     * @param name the name of the target.
     * @param service the service that it runs.
     * @param version the version that it runs.
     * @param slots the number of requests that it runs concurrently.
     * @param connections the number of connections that it accepts.
     */
    public record Announcement(
            NodeAddress node, String name, String service, String version, int slots, int connections) {}
}
