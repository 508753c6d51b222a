package org.sequoiashunt.node.mesh;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.peer.NodeAddress;

/**
 * HTTP connection of a test's caller that accepts nothing beyond the protocol: no malformed line, no field of framing
 * that stands twice, and no byte without a request. Not thread-safe.
 */
final class StrictHttpClient implements Closeable {

    /** Thrown for bytes that are no answer. */
    static final class UnexpectedBytesException extends IOException {

        private static final long serialVersionUID = 1;

        UnexpectedBytesException(final String message) {
            super(message);
        }
    }

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([2-5][0-9]{2}) .*");
    private static final Pattern FIELD_LINE = Pattern.compile("([A-Za-z0-9-]+): (.*)");
    private static final int HEXADECIMAL = 16;
    private static final int NO_CONTENT_STATUS = 204;
    private static final int NOT_MODIFIED_STATUS = 304;

    private final Socket socket;

    StrictHttpClient(final NodeAddress address, final int timeoutMs) throws IOException {
        socket = new Socket(address.host(), address.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
    }

    /** Writes a request; fails if bytes have arrived without one. */
    void write(final String request) throws IOException {
        if (socket.getInputStream().available() > 0) {
            throw new UnexpectedBytesException(
                    "without a request: " + new String(readAvailable(), StandardCharsets.ISO_8859_1));
        }
        socket.getOutputStream().write(TargetAnswer.encode(request));
    }

    private byte[] readAvailable() throws IOException {
        InputStream input = socket.getInputStream();
        return input.readNBytes(input.available());
    }

    /**
     * Reads one response.
     *
     * @throws EOFException if the connection ends before its first byte or within it.
     */
    CallResponse read() throws IOException {
        Matcher statusLine = match(STATUS_LINE, readLine());
        int status = Integer.parseInt(statusLine.group(1));
        List<HeaderField> fields = new ArrayList<>();
        String line = readLine();
        while (!line.isEmpty()) {
            Matcher field = match(FIELD_LINE, line);
            fields.add(new HeaderField(field.group(1), field.group(2)));
            line = readLine();
        }
        return new CallResponse(status, fields, Body.of(readBody(status, fields)));
    }

    private byte[] readBody(final int status, final List<HeaderField> fields) throws IOException {
        List<String> lengths = valuesOf(fields, "Content-Length");
        List<String> encodings = valuesOf(fields, "Transfer-Encoding");
        if (lengths.size() + encodings.size() > 1) {
            throw new UnexpectedBytesException("the end of the body is stated twice: " + fields);
        }
        if (status == NO_CONTENT_STATUS || status == NOT_MODIFIED_STATUS) {
            return new byte[0];
        }
        if (!encodings.isEmpty()) {
            return readChunks();
        }
        if (lengths.isEmpty()) {
            throw new UnexpectedBytesException("the end of the body is not stated: " + fields);
        }
        return readBytes(Integer.parseInt(lengths.get(0)));
    }

    private byte[] readChunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int size = Integer.parseInt(readLine(), HEXADECIMAL);
        while (size > 0) {
            body.writeBytes(readBytes(size));
            readLine();
            size = Integer.parseInt(readLine(), HEXADECIMAL);
        }
        while (!readLine().isEmpty()) {
            continue;
        }
        return body.toByteArray();
    }

    private byte[] readBytes(final int count) throws IOException {
        byte[] bytes = socket.getInputStream().readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private static List<String> valuesOf(final List<HeaderField> fields, final String name) {
        return fields.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .toList();
    }

    private static Matcher match(final Pattern pattern, final String line) throws IOException {
        Matcher matcher = pattern.matcher(line);
        if (!matcher.matches()) {
            throw new UnexpectedBytesException("a line that cannot stand here: " + StutteringTarget.escape(line));
        }
        return matcher;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.length() < 2 || line.charAt(line.length() - 1) != '\n') {
            int read = socket.getInputStream().read();
            if (read < 0) {
                throw new EOFException("the connection ended within a head");
            }
            line.append((char) read);
        }
        if (line.charAt(line.length() - 2) != '\r') {
            throw new UnexpectedBytesException("a line ends without a carriage return");
        }
        return line.substring(0, line.length() - 2);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
