package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message and blocking functions to read and exchange messages. */
record Http(String firstLine, Map<String, String> headers, byte[] body) {

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String method() {
        return firstLine.split(" ")[0];
    }

    String path() {
        return firstLine.split(" ")[1];
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads a message; returns null if the connection ends before its first byte. */
    static Http read(final InputStream in) throws IOException {
        String first = line(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
            int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
            while (size > 0) {
                body.write(exactly(in, size));
                line(in, false);
                size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
            }
            while (!line(in, false).isEmpty()) {
                // Skips trailers.
            }
        } else if (headers.containsKey("Content-Length")) {
            body.write(exactly(in, Integer.parseInt(headers.get("Content-Length"))));
        }
        return new Http(first, headers, body.toByteArray());
    }

    private static byte[] exactly(final InputStream in, final int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("body cut after " + bytes.length + " of " + count + " bytes");
        }
        return bytes;
    }

    private static String line(final InputStream in, final boolean first) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int value = in.read();
        if (value < 0 && first) {
            return null;
        }
        while (value != '\n') {
            if (value < 0) {
                throw new EOFException("connection ended within a line");
            }
            if (value != '\r') {
                out.write(value);
            }
            value = in.read();
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends one request on a new connection and reads its answer. */
    static Http call(
            final InetSocketAddress address,
            final String method,
            final String path,
            final Map<String, String> headers,
            final byte[] body,
            final int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(address, Math.min(timeoutMs, 1_000));
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(request(method, path, headers, body));
            Http answer = read(socket.getInputStream());
            if (answer == null) {
                throw new EOFException("connection closed without an answer");
            }
            return answer;
        }
    }

    static byte[] request(
            final String method, final String path, final Map<String, String> headers, final byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        return out.toByteArray();
    }
}
