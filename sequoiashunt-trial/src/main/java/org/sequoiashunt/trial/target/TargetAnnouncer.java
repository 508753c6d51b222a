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
 * Announces a target stand-in to the node of its VM and renews the announcement.
 *
 * <p>Thread-safe.
 */
public final class TargetAnnouncer implements AutoCloseable {

    private static final long RENEWAL_MS = 500;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final Announcement announcement;
    private final NodeAddress target;
    private final HttpClient http = HttpClient.newHttpClient();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "target-announcer");
        thread.setDaemon(true);
        return thread;
    });

    TargetAnnouncer(final Announcement announcement, final NodeAddress target) {
        this.announcement = announcement;
        this.target = target;
        scheduler.scheduleWithFixedDelay(this::announce, 0, RENEWAL_MS, TimeUnit.MILLISECONDS);
    }

    NodeAddress target() {
        return target;
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
                        target,
                        announcement.slots(),
                        announcement.connections());
        send(request().PUT(HttpRequest.BodyPublishers.ofString(json)).build());
    }

    private HttpRequest.Builder request() {
        URI uri = URI.create("http://" + announcement.node() + "/targets/" + announcement.name());
        return HttpRequest.newBuilder(uri).timeout(TIMEOUT);
    }

    /** The node may not have started yet or may have died: the next renewal tries again. */
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
     * What a target says about itself. Immutable and thread-safe.
     *
     * @param node the admin address of the node of its VM.
     * @param name the name of the target.
     * @param service the service that it runs.
     * @param version the version that it runs.
     * @param slots how many requests it runs at a time.
     * @param connections how many connections it accepts.
     */
    public record Announcement(
            NodeAddress node, String name, String service, String version, int slots, int connections) {}
}
