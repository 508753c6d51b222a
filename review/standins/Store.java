package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's metadata store: linearizable, never fails, forgets nothing. */
final class Store implements AutoCloseable {

    /** An item, or a deletion if the value is null. */
    private record Item(String key, String value, long rev, long createdRev, long lease) {

        Map<String, Object> event() {
            return value == null
                    ? Json.map("Key", key, "Rev", rev, "Deleted", true)
                    : Json.map("Key", key, "Value", value, "Rev", rev, "CreatedRev", createdRev, "Lease", lease);
        }
    }

    private static final class Lease {
        long ttlMs;
        long endsAtMs;
    }

    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 100;

    Store(final String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
        server.createContext("/", this::handle);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** Writes a document as the operator does; its return is the acknowledgement. */
    synchronized long operatorPut(final String key, final Object document) {
        revision++;
        put(key, Base64.getEncoder().encodeToString(Json.write(document).getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    /** Returns the JSON text of a value, or null. */
    synchronized String read(final String key) {
        expireLeases();
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private void put(final String key, final String value, final long lease) {
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.createdRev(), lease);
        items.put(key, item);
        history.add(item);
    }

    private void remove(final String key) {
        if (items.remove(key) != null) {
            history.add(new Item(key, null, revision, 0, 0));
        }
    }

    private void expireLeases() {
        long nowMs = nowMs();
        List<Long> ended = leases.entrySet().stream()
                .filter(entry -> entry.getValue().endsAtMs <= nowMs)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::endLease);
    }

    private void endLease(final long lease) {
        leases.remove(lease);
        List<String> keys = items.values().stream()
                .filter(item -> item.lease() == lease)
                .map(Item::key)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private void handle(final HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().getRawPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        Object[] response;
        try {
            response = answer(exchange.getRequestMethod(), path, query, body);
        } catch (InterruptedException exception) {
            response = new Object[] {503, Json.map()};
        } catch (RuntimeException exception) {
            exception.printStackTrace();
            response = new Object[] {400, Json.map()};
        }
        byte[] bytes = Json.write(response[1]).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders((Integer) response[0], bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static Map<String, String> query(final String text) {
        Map<String, String> query = new HashMap<>();
        if (text != null) {
            for (String pair : text.split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized Object[] answer(
            final String method, final String path, final Map<String, String> query, final String body)
            throws InterruptedException {
        expireLeases();
        if (path.equals("/-/kv-key")) {
            Item item = items.get(query.get("Key"));
            if (item == null) {
                return new Object[] {404, Json.map("CurrentRev", revision)};
            }
            Map<String, Object> found = item.event();
            found.put("CurrentRev", revision);
            return new Object[] {200, found};
        }
        if (path.equals("/-/kv-range")) {
            List<Object> found = new ArrayList<>();
            items.forEach((key, item) -> {
                if (key.startsWith(query.get("Prefix"))) {
                    found.add(item.event());
                }
            });
            return new Object[] {200, Json.map("items", found, "MorePages", false, "CurrentRev", revision)};
        }
        if (path.equals("/-/kv-watch")) {
            return watch(query.get("Prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("WaitMs")));
        }
        if (path.equals("/-/kv-txn")) {
            return transact(Json.object(body));
        }
        if (path.equals("/-/kv-lease")) {
            Lease lease = new Lease();
            lease.ttlMs = ((Number) Json.object(body).get("TtlMs")).longValue();
            lease.endsAtMs = nowMs() + lease.ttlMs;
            lastLease++;
            leases.put(lastLease, lease);
            return new Object[] {200, Json.map("Lease", lastLease, "TtlMs", lease.ttlMs)};
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
            return new Object[] {404, Json.map()};
        }
        if (method.equals("DELETE")) {
            endLease(id);
        } else {
            lease.endsAtMs = nowMs() + lease.ttlMs;
        }
        return new Object[] {200, Json.map("TtlMs", lease.ttlMs)};
    }

    private Object[] watch(final String prefix, final long after, final long waitMs) throws InterruptedException {
        long endMs = nowMs() + waitMs;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Item item : history) {
                if (item.rev() > after && item.key().startsWith(prefix)) {
                    events.add(item.event());
                }
            }
            long leftMs = endMs - nowMs();
            if (!events.isEmpty() || leftMs <= 0) {
                return new Object[] {200, Json.map("events", events, "CurrentRev", revision)};
            }
            wait(leftMs);
        }
    }

    @SuppressWarnings("unchecked")
    private Object[] transact(final Map<String, Object> transaction) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) transaction.get("Expected");
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> row : expected) {
            Item item = items.get((String) row.get("Key"));
            holds &= (item == null ? 0 : item.rev()) == ((Number) row.get("Rev")).longValue();
            if (item != null) {
                current.add(item.event());
            }
        }
        if (!holds) {
            return new Object[] {412, Json.map("items", current)};
        }
        List<Map<String, Object>> puts = (List<Map<String, Object>>) transaction.get("Puts");
        for (Map<String, Object> put : puts) {
            long lease = ((Number) put.getOrDefault("Lease", 0L)).longValue();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Object[] {404, Json.map()};
            }
        }
        revision++;
        for (Map<String, Object> put : puts) {
            put(
                    (String) put.get("Key"),
                    (String) put.get("Value"),
                    ((Number) put.getOrDefault("Lease", 0L)).longValue());
        }
        ((List<Object>) transaction.get("Remove")).forEach(key -> remove((String) key));
        notifyAll();
        return new Object[] {200, Json.map("Rev", revision)};
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
