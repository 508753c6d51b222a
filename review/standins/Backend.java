package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of one incarnation of a backend: runs requests in its slots, answers with its signature, sends heartbeats. */
final class Backend implements AutoCloseable {

    static final int HEARTBEAT_MS = 870;

    /** Decides how long a request works, or that it crashes the backend by a negative number. */
    interface Work {
        int ms(Http request);

        /** Returns whether the run ends with a failure of the backend's own. */
        default boolean fails(final Http request) {
            return false;
        }
    }

    final String id;
    final String service;
    private final String version;
    private final InetSocketAddress address;
    private final InetSocketAddress control;
    private final int slotCount;
    private final Semaphore slots;
    private final Work work;
    private final Record record;
    private final long bornMs = System.currentTimeMillis();
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger waiting = new AtomicInteger();
    private volatile boolean beating;
    private volatile boolean stopped;
    private volatile Runnable onCrash = () -> {};

    Backend(
            final String id,
            final String service,
            final String version,
            final InetSocketAddress address,
            final InetSocketAddress control,
            final int slots,
            final Work work,
            final Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.version = version;
        this.address = address;
        this.control = control;
        this.slotCount = slots;
        this.slots = new Semaphore(slots, true);
        this.work = work;
        this.record = record;
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address, 256);
        daemon("accept-" + id, this::accept);
    }

    static void daemon(final String name, final Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(final long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    void onCrash(final Runnable task) {
        onCrash = task;
    }

    /** Sends heartbeats until {@link #stopBeats} or the end. */
    Backend startBeats() {
        beating = true;
        daemon("beat-" + id, () -> {
            while (beating && !stopped) {
                try {
                    deliver(nextBeat("ready"));
                } catch (IOException exception) {
                    record.add("beat " + id + " failed: " + exception.getMessage());
                }
                sleep(HEARTBEAT_MS);
            }
        });
        return this;
    }

    void stopBeats() {
        beating = false;
    }

    /** Creates the next heartbeat without sending it. */
    String nextBeat(final String state) {
        return Json.write(Json.map(
                "Address",
                address.getAddress().getHostAddress() + ":" + address.getPort(),
                "born",
                bornMs,
                "Info",
                Json.map("Service", service, "Version", version, "Zone", "z1", "Slots", slotCount),
                "Status",
                Json.map("State", state, "Seq", sequence.incrementAndGet(), "WarmupLeftMs", 0)));
    }

    /** Delivers a heartbeat to the node beside this backend and returns the status of the answer. */
    int deliver(final String beat) throws IOException {
        return Http.call(
                        control,
                        "PUT",
                        "/-/instances/" + id,
                        Map.of("Host", "control", "Content-Type", "application/json"),
                        beat.getBytes(StandardCharsets.UTF_8),
                        1_000)
                .status();
    }

    /** Says that this backend leaves for good and returns the status of the answer. */
    int leave() throws IOException {
        return Http.call(control, "DELETE", "/-/instances/" + id, Map.of("Host", "control"), new byte[0], 1_000)
                .status();
    }

    private void accept() {
        while (!stopped) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon("serve-" + id, () -> serve(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            Http request = Http.read(socket.getInputStream());
            while (request != null && !stopped) {
                byte[] answer = answer(request);
                if (answer == null) {
                    return;
                }
                socket.getOutputStream().write(answer);
                request = Http.read(socket.getInputStream());
            }
        } catch (IOException exception) {
            // The node closed the connection, or this backend ended.
        } finally {
            sockets.remove(socket);
        }
    }

    private byte[] answer(final Http request) throws IOException {
        String requestId = request.headers().get("Request-Id");
        String expected = request.headers().get("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            record.add("421 backend=" + id + " request=" + requestId);
            return message("421 Misdirected Request", requestId, "Instance-Id: " + id + "\r\n", "");
        }
        long deadlineMs = Long.parseLong(request.headers().getOrDefault("Request-Deadline-Ms", "10000"));
        waiting.incrementAndGet();
        boolean started;
        try {
            started = slots.tryAcquire(deadlineMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            started = false;
        } finally {
            waiting.decrementAndGet();
        }
        if (!started) {
            record.add("shed backend=" + id + " request=" + requestId);
            return message("503 Service Unavailable", requestId, "Not-Executed: 1\r\n", "");
        }
        try {
            record.add("run backend=" + id + " request=" + requestId + " " + request.firstLine() + " caller="
                    + request.headers().get("Caller-Service"));
            int ms = work.ms(request);
            if (ms < 0) {
                crash(requestId);
                return null;
            }
            if (ms > deadlineMs) {
                sleep(deadlineMs);
                record.add("deadline backend=" + id + " request=" + requestId);
                return message("504 Gateway Timeout", requestId, signature(), "late");
            }
            sleep(ms);
            if (stopped) {
                record.add("cut backend=" + id + " request=" + requestId);
                return null;
            }
            if (work.fails(request)) {
                record.add("error backend=" + id + " request=" + requestId);
                return message("500 Internal Server Error", requestId, signature(), "error");
            }
            record.add("ran backend=" + id + " request=" + requestId);
            return message("200 OK", requestId, signature(), "body of " + requestId);
        } finally {
            slots.release();
        }
    }

    private String signature() {
        return "Response-Signature: " + id + "." + Long.toHexString(System.nanoTime()) + "\r\n";
    }

    private byte[] message(final String status, final String requestId, final String headers, final String body) {
        String echoed = requestId == null ? "" : "Request-Id: " + requestId + "\r\n";
        String load = "Backend-Load: " + (slotCount - slots.availablePermits()) + "," + waiting.get() + "," + slotCount;
        return ("HTTP/1.1 " + status + "\r\n" + echoed + headers + load + "\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private void crash(final String requestId) {
        boolean first;
        synchronized (this) {
            first = !stopped;
            stopped = true;
        }
        if (first) {
            record.add("crash backend=" + id + " request=" + requestId);
            close();
            onCrash.run();
        }
    }

    boolean ended() {
        return stopped;
    }

    /** Ends the process of this backend: its connections and its listener close. */
    @Override
    public void close() {
        stopped = true;
        beating = false;
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException exception) {
            record.add("close " + id + ": " + exception.getMessage());
        }
    }
}
