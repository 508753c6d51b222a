package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of one VM: each request has its own identity and its own connection, and is sent once. */
final class Load {

    private static final AtomicLong LAST = new AtomicLong();

    private final Record record;
    private final InetSocketAddress outbound;
    private volatile boolean stopped;

    Load(final Record record, final InetSocketAddress outbound) {
        this.record = record;
        this.outbound = outbound;
    }

    /** Sends requests at a steady rate until {@link #stop}. */
    void start(final String method, final String host, final String path, final int periodMs, final int deadlineMs) {
        Backend.daemon("load", () -> {
            long nextNs = System.nanoTime();
            while (!stopped) {
                Backend.daemon("client", () -> send(method, host, path, deadlineMs));
                nextNs += periodMs * 1_000_000L;
                Backend.sleep((nextNs - System.nanoTime()) / 1_000_000);
            }
        });
    }

    /** Sends one request and returns the status of its answer, or 0 if the connection failed. */
    int send(final String method, final String host, final String path, final int deadlineMs) {
        String id = String.format("q%07d", LAST.incrementAndGet());
        record.add("sent request=" + id + " " + method + " " + host + path);
        try {
            Http answer = Http.call(
                    outbound,
                    method,
                    path,
                    Map.of("Host", host, "Request-Id", id, "Request-Deadline-Ms", String.valueOf(deadlineMs)),
                    method.equals("GET") ? new byte[0] : "order".getBytes(),
                    deadlineMs);
            record.add("answer request=" + id + " status=" + answer.status() + " "
                    + answer.headers().getOrDefault("Response-Signature", "-") + " " + answer.text().trim());
            return answer.status();
        } catch (IOException exception) {
            record.add("failed request=" + id + " " + exception);
            return 0;
        }
    }

    void stop() {
        stopped = true;
    }
}
