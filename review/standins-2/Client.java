import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in of a client: sends one request on a new connection. Not instantiable; thread-safe. */
final class Client {

    private Client() {}

    /** Sends a request and returns the answer, null if there is none. */
    static Http send(
            final Record record,
            final String outbound,
            final String method,
            final String host,
            final String path,
            final String requestId,
            final long deadlineMs,
            final String body,
            final String... fields) {
        String[] parts = outbound.split(":");
        String furtherFields = fields.length == 0 ? "" : String.join("\r\n", fields) + "\r\n";
        long sentMs = record.nowMs();
        try (Socket caller = new Socket()) {
            caller.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            caller.setSoTimeout((int) deadlineMs);
            caller.setTcpNoDelay(true);
            caller.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + requestId
                                    + "\r\nRequest-Deadline-Ms: " + deadlineMs + "\r\nContent-Length: " + body.length()
                                    + "\r\n" + furtherFields + "\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            caller.getOutputStream().flush();
            Http answer = Http.read(new BufferedInputStream(caller.getInputStream()), true);
            record.logAt(sentMs, "sent %s, answer %s after %d ms", requestId,
                    answer == null ? "none, closed" : answer.firstLine(), record.nowMs() - sentMs);
            return answer;
        } catch (IOException exception) {
            record.logAt(sentMs, "sent %s, no answer: %s", requestId, exception.getMessage());
            return null;
        }
    }
}
