package org.sequoiashunt.node.mesh;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import javax.net.ssl.SSLSession;

/** HTTP response read from a socket; a response without a Content-Length header has an empty body. */
record RawResponse(int statusCode, HttpHeaders headers, String body) implements HttpResponse<String> {

    static HttpResponse<String> read(final InputStream input) throws IOException {
        String statusLine = readLine(input);
        Map<String, List<String>> fields = new HashMap<>();
        String line = readLine(input);
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            fields.computeIfAbsent(line.substring(0, colon).toLowerCase(Locale.ROOT), name -> new ArrayList<>())
                    .add(line.substring(colon + 1).trim());
            line = readLine(input);
        }
        int length = Integer.parseInt(
                fields.getOrDefault("content-length", List.of("0")).get(0));
        String body = new String(input.readNBytes(length), StandardCharsets.ISO_8859_1);
        return new RawResponse(
                Integer.parseInt(statusLine.split(" ")[1]), HttpHeaders.of(fields, (name, value) -> true), body);
    }

    private static String readLine(final InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int read = input.read();
        while (read != '\n') {
            if (read < 0) {
                throw new IOException("the connection ended within a header line");
            }
            line.append((char) read);
            read = input.read();
        }
        return line.toString().trim();
    }

    @Override
    public HttpRequest request() {
        return null;
    }

    @Override
    public Optional<HttpResponse<String>> previousResponse() {
        return Optional.empty();
    }

    @Override
    public Optional<SSLSession> sslSession() {
        return Optional.empty();
    }

    @Override
    public URI uri() {
        return URI.create("http://localhost/");
    }

    @Override
    public HttpClient.Version version() {
        return HttpClient.Version.HTTP_1_1;
    }
}
