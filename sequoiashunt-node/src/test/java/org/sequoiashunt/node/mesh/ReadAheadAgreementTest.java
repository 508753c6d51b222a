package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.pipeline.RequestHead;
import org.sequoiashunt.pipeline.RequestHeadParser;

/** Guards against heads that are accepted ahead but read differently by the server, which would run other requests. */
class ReadAheadAgreementTest {

    private static final int HEADS = 40_000;
    private static final String HEAD = "GET /look/7?plate=29A&x=%2f HTTP/1.1\r\nHost: desk\r\nRequest-Id: r-1\r\n"
            + "Authorization: Bearer k 1\r\nConnection: keep-alive\r\nAccept: */*\r\n\r\n";
    private static final String[] PARTS = {
        "\r\n",
        "\n",
        "\r",
        " ",
        "\t",
        ":",
        ";",
        "/",
        "//",
        "?",
        "&",
        "=",
        "%",
        "%41",
        "#",
        "@",
        "..",
        ",",
        "\"",
        "'",
        "Content-Length: 4\r\n",
        "Host: x\r\n",
        "Transfer-Encoding: chunked\r\n",
        "GET / HTTP/1.1\r\n",
        "http://a",
        "*",
        "\u0000",
        "\u00ff",
        "POST",
        "HTTP/1.0",
        "a: b\r\n",
        "Cookie: a=b; c=d\r\n",
        "(",
        "~",
        "+",
        "$",
        "!",
        "-",
        "_"
    };

    private static String mutate(final Random random) {
        StringBuilder text = new StringBuilder(HEAD);
        for (int change = random.nextInt(4); change >= 0; change--) {
            int index = random.nextInt(text.length());
            String part = random.nextInt(3) == 0
                    ? Character.toString((char) random.nextInt(256))
                    : PARTS[random.nextInt(PARTS.length)];
            text.replace(index, Math.min(text.length(), index + random.nextInt(3)), part);
        }
        return text.toString();
    }

    /** The answer of the server: what it has read. */
    private static void echo(final HttpServerExchange exchange) {
        exchange.getResponseSender()
                .send(describe(
                        exchange.getRequestMethod() + " " + exchange.getProtocol(),
                        exchange.getRequestURI(),
                        exchange.getQueryString(),
                        exchange.getRequestHeaders()));
    }

    private static String describe(
            final String method, final String path, final String query, final HeaderMap headers) {
        return method + "|" + path + "|" + query + "|" + headers;
    }

    @Test
    void serverReadsEveryAcceptedHeadInTheSameWay() throws Exception {
        Undertow server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1", ReadAheadAgreementTest::echo)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setIoThreads(1)
                .setWorkerThreads(1)
                .build();
        server.start();
        int accepted = 0;
        try (Socket socket = new Socket()) {
            socket.connect(server.getListenerInfo().get(0).getAddress());
            socket.setSoTimeout(5_000);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            Random random = new Random(7);
            for (int index = 0; index < HEADS; index++) {
                byte[] bytes = mutate(random).getBytes(StandardCharsets.ISO_8859_1);
                RequestHead head = RequestHeadParser.parse(bytes, 0, 8_192).orElse(null);
                if (head != null) {
                    accepted++;
                    HeaderMap headers = new HeaderMap();
                    head.fields().forEach(field -> headers.add(new HttpString(field.name()), field.value()));
                    // A length that the server reads differently shows in the next answer.
                    socket.getOutputStream().write(bytes, 0, head.lengthBytes());
                    assertEquals(
                            describe("GET HTTP/1.1", head.path(), head.query(), headers),
                            RawResponse.read(input).body());
                }
            }
        } finally {
            server.stop();
        }
        assertTrue(accepted > HEADS / 100, "accepted " + accepted);
    }
}
