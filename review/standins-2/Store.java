import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of the platform's store as PROTOCOL.md describes it: items with revisions, ranges, watches, transactions
 * and leases. Each machine reaches it at an address of its own, so that a machine can be cut off from it.
 *
 * <p>Thread-safe.
 */
final class Store implements AutoCloseable {

    private static final int PAGE_ITEMS = 500;

    private final Record record;
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> events = new ArrayList<>();
    private final Map<Long, Long> leaseEndsMs = new HashMap<>();
    private final Map<Long, Long> leaseTimesMs = new HashMap<>();
    private final Map<String, ServerSocket> doors = new ConcurrentHashMap<>();
    private final Map<String, Boolean> cut = new ConcurrentHashMap<>();
    private long revision = 100;
    private long lastLease = 7;
    private volatile boolean closed;

    Store(final Record record) {
        this.record = record;
        Thread reaper = new Thread(this::endLeases, "store-leases");
        reaper.setDaemon(true);
        reaper.start();
    }

    /** Opens the address at which one machine reaches the store. */
    String open(final String machine) throws IOException {
        ServerSocket door = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        doors.put(machine, door);
        Thread acceptor = new Thread(() -> accept(machine, door), "store-" + machine);
        acceptor.setDaemon(true);
        acceptor.start();
        return "127.0.0.1:" + door.getLocalPort();
    }

    /** Cuts a machine off silently: what it sends gets no answer and is not executed. */
    void setCut(final String machine, final boolean isCut) {
        cut.put(machine, isCut);
        record.log("store %s is %s", machine, isCut ? "cut off" : "reachable again");
    }

    private boolean isCut(final String machine) {
        return cut.getOrDefault(machine, false);
    }

    private void accept(final String machine, final ServerSocket door) {
        while (!closed) {
            try {
                Socket socket = door.accept();
                Thread server = new Thread(() -> serve(machine, socket), "store-call");
                server.setDaemon(true);
                server.start();
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(final String machine, final Socket socket) {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            Http request = Http.read(input, false);
            while (request != null) {
                if (isCut(machine)) {
                    holdWhileCut(machine);
                    return;
                }
                Answer answer = answer(request);
                if (isCut(machine)) {
                    holdWhileCut(machine);
                    return;
                }
                byte[] body = Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream()
                        .write(("HTTP/1.1 " + answer.status() + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                        + body.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().write(body);
                socket.getOutputStream().flush();
                request = Http.read(input, false);
            }
        } catch (IOException | InterruptedException | RuntimeException exception) {
            // The caller has gone.
            return;
        }
    }

    private void holdWhileCut(final String machine) throws InterruptedException {
        while (isCut(machine) && !closed) {
            Thread.sleep(20);
        }
    }

    private Answer answer(final Http request) throws InterruptedException {
        String[] parts = request.firstLine().split(" ");
        int mark = parts[1].indexOf('?');
        String path = mark < 0 ? parts[1] : parts[1].substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : parts[1].substring(mark + 1).split("&")) {
                String[] entry = pair.split("=", 2);
                query.put(entry[0], URLDecoder.decode(entry.length > 1 ? entry[1] : "", StandardCharsets.UTF_8));
            }
        }
        return switch (path) {
            case "/-/kv-key" -> key(query.get("Key"));
            case "/-/kv-range" -> range(query.getOrDefault("Prefix", ""), query.getOrDefault("after", ""));
            case "/-/kv-watch" -> watch(
                    query.getOrDefault("Prefix", ""),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.get("WaitMs")));
            case "/-/kv-txn" -> transact(Json.parseObject(request.text()));
            case "/-/kv-lease" -> grant((Long) Json.parseObject(request.text()).get("TtlMs"));
            default -> path.startsWith("/-/kv-keep/")
                    ? keep(Long.parseLong(path.substring("/-/kv-keep/".length())))
                    : end(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
        };
    }

    private synchronized Answer key(final String key) {
        Map<String, Object> item = items.get(key);
        if (item == null) {
            return new Answer(404, Map.of("CurrentRev", revision));
        }
        Map<String, Object> body = new LinkedHashMap<>(item);
        body.put("CurrentRev", revision);
        return new Answer(200, body);
    }

    private synchronized Answer range(final String prefix, final String after) {
        List<Object> page = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Map<String, Object>> entry : items.tailMap(prefix, true).entrySet()) {
            if (entry.getKey().startsWith(prefix) && entry.getKey().compareTo(after) > 0) {
                if (page.size() == PAGE_ITEMS) {
                    more = true;
                    break;
                }
                page.add(entry.getValue());
            }
        }
        return new Answer(200, Map.of("items", page, "MorePages", more, "CurrentRev", revision));
    }

    private synchronized Answer watch(final String prefix, final long after, final long waitMs)
            throws InterruptedException {
        long endMs = System.nanoTime() / 1_000_000 + waitMs;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Map<String, Object> event : events) {
                if ((Long) event.get("Rev") > after && ((String) event.get("Key")).startsWith(prefix)) {
                    found.add(event);
                }
            }
            long leftMs = endMs - System.nanoTime() / 1_000_000;
            if (!found.isEmpty() || leftMs <= 0) {
                return new Answer(200, Map.of("events", found, "CurrentRev", revision));
            }
            wait(leftMs);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Answer transact(final Map<String, Object> transaction) {
        List<Object> expected = (List<Object>) transaction.getOrDefault("Expected", List.of());
        List<Object> puts = (List<Object>) transaction.getOrDefault("Puts", List.of());
        List<Object> removes = (List<Object>) transaction.getOrDefault("Remove", List.of());
        for (Object each : expected) {
            Map<String, Object> condition = (Map<String, Object>) each;
            Map<String, Object> item = items.get(condition.get("Key"));
            long actual = item == null ? 0 : (Long) item.get("Rev");
            if (actual != (Long) condition.get("Rev")) {
                return new Answer(412, Map.of("items", List.of(), "CurrentRev", revision));
            }
        }
        for (Object each : puts) {
            long lease = (Long) ((Map<String, Object>) each).getOrDefault("Lease", 0L);
            if (lease != 0 && !leaseEndsMs.containsKey(lease)) {
                return new Answer(404, Map.of());
            }
        }
        revision++;
        for (Object each : puts) {
            Map<String, Object> put = (Map<String, Object>) each;
            putItem((String) put.get("Key"), (String) put.get("Value"), (Long) put.getOrDefault("Lease", 0L));
        }
        removes.forEach(key -> removeItem((String) key));
        notifyAll();
        return new Answer(200, Map.of("Rev", revision));
    }

    private void putItem(final String key, final String value, final long lease) {
        Map<String, Object> known = items.get(key);
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("Key", key);
        item.put("Value", value);
        item.put("Rev", revision);
        item.put("CreatedRev", known == null ? revision : known.get("CreatedRev"));
        item.put("Lease", lease);
        items.put(key, item);
        events.add(item);
        record.log("store put %s lease %d rev %d", key, lease, revision);
    }

    private void removeItem(final String key) {
        if (items.remove(key) != null) {
            events.add(Map.of("Key", key, "Rev", revision, "Deleted", true));
            record.log("store removed %s rev %d", key, revision);
        }
    }

    private synchronized Answer grant(final long ttlMs) {
        lastLease++;
        leaseTimesMs.put(lastLease, ttlMs);
        leaseEndsMs.put(lastLease, record.nowMs() + ttlMs);
        return new Answer(200, Map.of("Lease", lastLease, "TtlMs", ttlMs));
    }

    private synchronized Answer keep(final long lease) {
        if (!leaseEndsMs.containsKey(lease)) {
            return new Answer(404, Map.of());
        }
        leaseEndsMs.put(lease, record.nowMs() + leaseTimesMs.get(lease));
        return new Answer(200, Map.of("TtlMs", leaseTimesMs.get(lease)));
    }

    private synchronized Answer end(final long lease) {
        boolean known = leaseEndsMs.remove(lease) != null;
        return new Answer(known ? 200 : 404, Map.of());
    }

    private void endLeases() {
        while (!closed) {
            synchronized (this) {
                List<Long> ended = new ArrayList<>();
                leaseEndsMs.forEach((lease, endMs) -> {
                    if (endMs < record.nowMs()) {
                        ended.add(lease);
                    }
                });
                for (Long lease : ended) {
                    leaseEndsMs.remove(lease);
                    List<String> keys = new ArrayList<>();
                    items.forEach((key, item) -> {
                        if (lease.equals(item.get("Lease"))) {
                            keys.add(key);
                        }
                    });
                    if (!keys.isEmpty()) {
                        revision++;
                        keys.forEach(this::removeItem);
                        notifyAll();
                    }
                }
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException exception) {
                return;
            }
        }
    }

    /** Writes a document as the operator does; the return is the acknowledgement. */
    synchronized void operatorPuts(final String key, final Object document) {
        revision++;
        putItem(key, Base64.getEncoder().encodeToString(Json.write(document).getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    /** Returns the document under a key, null if there is none. */
    synchronized Map<String, Object> read(final String key) {
        Map<String, Object> item = items.get(key);
        return item == null
                ? null
                : Json.parseObject(
                        new String(Base64.getDecoder().decode((String) item.get("Value")), StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (ServerSocket door : doors.values()) {
            door.close();
        }
    }

    private record Answer(int status, Map<String, Object> body) {}
}
