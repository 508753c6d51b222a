package org.sequoiashunt.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiashunt.call.HeaderField;

/** Guards against heads that run ahead although the server reads them differently. */
class RequestHeadParserTest {

    private static final String FIELDS = "Host: desk\r\nRequest-Id: r-1\r\n";
    private static final String HEAD = "GET /look/7?plate=29A&x=%2f HTTP/1.1\r\n" + FIELDS + "\r\n";

    private static Optional<RequestHead> parse(final String text) {
        return RequestHeadParser.parse(text.getBytes(StandardCharsets.ISO_8859_1), 0, 8_192);
    }

    @Test
    void plainHeadIsReadAtItsOffset() {
        byte[] bytes = ("xyz" + HEAD + "GET /").getBytes(StandardCharsets.ISO_8859_1);
        RequestHead head = RequestHeadParser.parse(bytes, 3, HEAD.length()).orElseThrow();
        assertEquals("/look/7", head.path());
        assertEquals("/look/7?plate=29A&x=%2f", head.uri());
        assertEquals(List.of(new HeaderField("Host", "desk"), new HeaderField("Request-Id", "r-1")), head.fields());
        assertEquals(HEAD.length(), head.lengthBytes());
        assertTrue(RequestHeadParser.parse(bytes, 3, HEAD.length() - 1).isEmpty(), "longer than allowed");
    }

    @Test
    void headThatIsCutAnywhereIsIncomplete() {
        for (int length = 0; length < HEAD.length(); length++) {
            assertTrue(parse(HEAD.substring(0, length)).isEmpty(), "cut after " + length);
        }
    }

    @Test
    void oddByteAnywhereEndsTheReading() {
        for (int index = 0; index < HEAD.length(); index++) {
            for (char odd : new char[] {0, '\t', '\n', '\r', 0x0b, 0x7f, 0x85, 0xa0, 0xff}) {
                if (HEAD.charAt(index) != odd) {
                    String text = HEAD.substring(0, index) + odd + HEAD.substring(index + 1);
                    assertTrue(parse(text).isEmpty(), "byte " + (int) odd + " at " + index);
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 0\r\n",
                "Content-Length: 4\r\nContent-Length: 5\r\n",
                "content-length: 4\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: identity\r\n",
                "transfer-Encoding: xchunked\r\n",
                "Expect: 100-continue\r\n",
                "Upgrade: h2c\r\n",
                "Connection: close\r\n",
                "Connection: keep-alive, Request-Id\r\n",
                "Host: other\r\n",
                "host: desk\r\n",
                "Request-Id: r-2\r\n",
                "REQUEST-ID: r-1\r\n",
                "Accept: a\r\n b\r\n",
                "Accept: a\r\n\tb\r\n",
                "Accept : a\r\n",
                " Accept: a\r\n",
                "Accept: a\n",
                "Accept: a\nContent-Length: 4\r\n",
                "Accept: a\rB: c\r\n",
                "Accept:\r\n",
                "Accept: \r\n",
                "Accept: a \r\n",
                "Accept:  a\r\n",
                "Accept: a  b\r\n",
                ": a\r\n",
                "Accept\r\n",
                "Acc(ept: a\r\n",
            })
    void unusualFieldEndsTheReading(final String fields) {
        assertTrue(parse("GET /look/7 HTTP/1.1\r\n" + FIELDS + fields + "\r\n").isEmpty(), fields);
        assertTrue(parse("GET /look/7 HTTP/1.1\r\n" + fields + FIELDS + "\r\n").isEmpty(), fields);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET http://desk/look/7 HTTP/1.1",
                "GET //desk/look/7 HTTP/1.1",
                "GET /look//7 HTTP/1.1",
                "GET /look;a=b/7 HTTP/1.1",
                "GET /look:7 HTTP/1.1",
                "GET /look/%7 HTTP/1.1",
                "GET /look/%zz HTTP/1.1",
                "GET /look/7? HTTP/1.1",
                "GET /look/7?a#b HTTP/1.1",
                "GET /look/7?a?b HTTP/1.1",
                "GET /look/7 x HTTP/1.1",
                "GET  /look/7 HTTP/1.1",
                "GET /look/7  HTTP/1.1",
                "GET /look/7 HTTP/1.1 ",
                "GET /look/7 HTTP/1.0",
                "GET /look/7 HTTP/2.0",
                "GET /look/7",
                "GET * HTTP/1.1",
                "get /look/7 HTTP/1.1",
                "HEAD /look/7 HTTP/1.1",
                "POST /look/7 HTTP/1.1",
                "",
                " GET /look/7 HTTP/1.1",
            })
    void unusualRequestLineEndsTheReading(final String line) {
        assertTrue(parse(line + "\r\n" + FIELDS + "\r\n").isEmpty(), line);
    }

    @Test
    void headWithoutHostOrWithTooManyPartsIsNotRead() {
        assertTrue(parse("GET /look/7 HTTP/1.1\r\nRequest-Id: r-1\r\n\r\n").isEmpty());
        assertTrue(parse("GET / HTTP/1.1\r\n\r\n").isEmpty());
        assertTrue(parse("GET /?a" + "&a".repeat(100) + " HTTP/1.1\r\n" + FIELDS + "\r\n")
                .isEmpty());
        StringBuilder many = new StringBuilder("GET / HTTP/1.1\r\n").append(FIELDS);
        for (int field = 0; field < 63; field++) {
            many.append("F-").append(field).append(": x\r\n");
        }
        assertTrue(parse(many + "\r\n").isEmpty());
        assertTrue(parse("GET /" + "a%20".repeat(1_900) + " HTTP/1.1\r\n" + FIELDS + "\r\n")
                .isPresent());
    }
}
