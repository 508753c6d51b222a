import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stand-in of a backend: runs requests, and sends heartbeats to the node of its machine.
 *
 * <p>Thread-safe.
 */
final class Target implements AutoCloseable {

    private final Record record;
    private final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final long workMs;
    private final long born = System.currentTimeMillis();
    private final ServerSocket socket;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private long sequence;
    private volatile boolean closed;

    Target(
            final Record record,
            final String id,
            final String service,
            final String zone,
            final int slots,
            final long workMs)
            throws IOException {
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMs = workMs;
        this.socket = new ServerSocket(0, 110, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(this::accept, "target-" + id);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String id() {
        return id;
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    private void accept() {
        while (!closed) {
            try {
                Socket connection = socket.accept();
                Thread server = new Thread(() -> serve(connection), "target-connection");
                server.setDaemon(true);
                server.start();
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(final Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedInputStream input = new BufferedInputStream(connection.getInputStream());
            Http request = Http.read(input, false);
            while (request != null && !closed) {
                String head;
                String body = "";
                if (!request.field("Expected-Instance").isEmpty()
                        && !request.field("Expected-Instance").equals(id)) {
                    head = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nRequest-Id: "
                            + request.field("Request-Id") + "\r\nNot-Executed: 1\r\n";
                } else {
                    Arrival arrival = new Arrival(record.nowMs(), request.field("Request-Id"), request.fields());
                    arrivals.add(arrival);
                    record.logAt(arrival.atMs(), "run %s at %s", arrival.requestId(), id);
                    Thread.sleep(workMs);
                    body = "from " + id + " for " + arrival.requestId();
                    head = "HTTP/1.1 200 OK\r\nRequest-Id: " + arrival.requestId() + "\r\nResponse-Signature: sig."
                            + arrival.requestId() + "\r\nKeep-Alive: timeout=10\r\n";
                }
                connection
                        .getOutputStream()
                        .write((head + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.ISO_8859_1));
                connection.getOutputStream().flush();
                request = Http.read(input, false);
            }
        } catch (IOException exception) {
            // The node has closed the connection.
            return;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one heartbeat and returns the status of the answer, 0 if there is none within a second. */
    int beat(final String control, final String state) {
        sequence++;
        String body = Json.write(Map.of(
                "Address", address(),
                "Info", Map.of("Service", service, "Version", "v1", "Zone", zone, "Slots", slots),
                "Status", Map.of("State", state, "Seq", sequence, "WarmupLeftMs", 0),
                "born", born));
        int status = call(control, "PUT", body);
        record.log("heartbeat of %s, %s, Seq %d: %d", id, state, sequence, status);
        return status;
    }

    /** Says that the backend leaves for good, without having drained, and returns the status of the answer. */
    int leave(final String control) {
        int status = call(control, "DELETE", "");
        record.log("DELETE of %s: %d", id, status);
        return status;
    }

    private int call(final String control, final String method, final String body) {
        String[] parts = control.split(":");
        try (Socket caller = new Socket()) {
            caller.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            caller.setSoTimeout(1_000);
            caller.getOutputStream()
                    .write((method + " /-/instances/" + id + " HTTP/1.1\r\nHost: " + control
                                    + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
            caller.getOutputStream().flush();
            Http answer = Http.read(new BufferedInputStream(caller.getInputStream()), true);
            return answer == null ? 0 : answer.status();
        } catch (IOException exception) {
            return 0;
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        socket.close();
    }

    /** Request that the backend has begun to run, without its body. Immutable and thread-safe. */
    record Arrival(long atMs, String requestId, Map<String, String> fields) {}
}
