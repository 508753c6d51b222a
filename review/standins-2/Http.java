import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * One HTTP/1.1 message with a body of stated length or in chunks. Immutable and thread-safe but for its fields.
 *
 * @param firstLine the request line or status line.
 * @param fields the header fields by lower-case name.
 * @param body the body.
 */
record Http(String firstLine, Map<String, String> fields, byte[] body) {

    /** Reads a message; returns null if the connection ends before it begins. */
    static Http read(final BufferedInputStream input, final boolean isResponse) throws IOException {
        String firstLine = line(input);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        String line = line(input);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            line = line(input);
        }
        if (line == null) {
            throw new EOFException("the head is incomplete");
        }
        byte[] body = {};
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            int length = Integer.parseInt(line(input).trim(), 16);
            while (length > 0) {
                all.write(exactly(input, length));
                line(input);
                length = Integer.parseInt(line(input).trim(), 16);
            }
            line(input);
            body = all.toByteArray();
        } else if (fields.containsKey("content-length")) {
            body = exactly(input, Integer.parseInt(fields.get("content-length")));
        } else if (isResponse && !firstLine.contains(" 204") && !firstLine.contains(" 304")) {
            body = input.readAllBytes();
        }
        return new Http(firstLine, fields, body);
    }

    String field(final String name) {
        return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static byte[] exactly(final InputStream input, final int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body is incomplete");
        }
        return bytes;
    }

    private static String line(final InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = input.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            bytes.write(next);
            next = input.read();
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
