package org.sequoiashunt.http;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseHeadValidatorTest {

    private static void validate(final String head) throws MalformedHeadException {
        ResponseHeadValidator validator = new ResponseHeadValidator(Set.of("request-id"));
        for (String line : head.split("\n")) {
            validator.add(line);
        }
        validator.end();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\nRequest-Id: a\nContent-Length: 0",
                "HTTP/1.0 500",
                "HTTP/1.1 200 \u0085\nX-City: \u00C3\u0085",
                "HTTP/1.1 204 No Content\nContent-Length: 0",
                "HTTP/1.1 304 Not Modified\nContent-Length: 12",
                "HTTP/1.1 200 \nTransfer-Encoding: Chunked\nX-Empty:\nVia: HTTP/1.1 proxy\nSet-Cookie: a\nSet-Cookie: b"
            })
    void acceptsOneHead(final String head) {
        assertDoesNotThrow(() -> validate(head));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\nHTTP/1.1 500 Failed\nRequest-Id: a",
                "HTTP/1.1 200 OKHTTP/1.1 500 Failed\nRequest-Id: a",
                "HTTP/1.1 200HTTP/1.1 500 Failed",
                "HTTP/1.1 200 OK\nDate: MoHTTP/1.1 500 Failed\nRequest-Id: a",
                "HTTP/1.1 200 OK\nDate: MoHTTP/1.1 500",
                "HTTP/1.1 200 OK\nRequest-Id: a\nRequest-Id: a",
                "HTTP/1.1 200 OK\nContent-Length: 1\nContent-Length: 1",
                "HTTP/1.1 200 OK\nContent-Length: 1\nTransfer-Encoding: chunked",
                "HTTP/1.1 200 OK\nContent-Length: +1",
                "HTTP/1.1 200 OK\nTransfer-Encoding: gzip, chunked",
                "HTTP/1.0 200 OK\nTransfer-Encoding: chunked",
                "HTTP/1.1 204 None\nContent-Length: 1",
                "HTTP/1.1 100 Continue\nTransfer-Encoding: chunked",
                "HTTP/1.1 200 OK\n folded",
                "HTTP/1.1 200 OK\nName : value",
                "HTTP/1.1 200 OK\nno field",
                "HTTP/1.1 200 OK\n: value",
                "HTTP/1.1 200 OK\nName: a\rb",
                "HTTP/2.0 200 OK",
                "HHTTP/1.1 200 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 600 Unknown"
            })
    void rejectsWhatIsNotOneHead(final String head) {
        assertThrows(MalformedHeadException.class, () -> validate(head));
    }

    @Test
    void rejectsHeadWithoutStatusLine() {
        assertThrows(MalformedHeadException.class, new ResponseHeadValidator(Set.of())::end);
    }
}
