package org.sequoiashunt.http;

import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** Bytes that are not exactly one HTTP response with a stated end. Not instantiable; thread-safe. */
final class MalformedResponses {

    private static final String SUCCESS = "HTTP/1.1 200 OK\r\n";
    private static final String CONFLICT = "HTTP/1.1 412 Precondition Failed\r\n";
    private static final String LENGTH = "Content-Length: 2\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String BODY = "\r\n{}";
    private static final String CHUNKS = "\r\n2\r\n{}\r\n0\r\n\r\n";

    private MalformedResponses() {}

    static Stream<Arguments> all() {
        return Stream.concat(heads(), bodies());
    }

    private static Stream<Arguments> heads() {
        return Stream.of(
                malformed("status line joined to a conflict", SUCCESS + CONFLICT + LENGTH + BODY),
                malformed("conflict's status line joined to a success", CONFLICT + SUCCESS + LENGTH + BODY),
                malformed("unfinished status line", "HTTP/1.1 200 " + CONFLICT + LENGTH + BODY),
                malformed("unfinished field name", SUCCESS + "Content-Le" + CONFLICT + LENGTH + BODY),
                malformed("unfinished field value", SUCCESS + "Date: Sat" + CONFLICT + LENGTH + BODY),
                malformed("field value and status line", SUCCESS + "Date: Sat\r\n" + CONFLICT + LENGTH + BODY),
                malformed("two lengths", SUCCESS + "Content-Length: 3\r\n" + LENGTH + BODY),
                malformed("one length twice", SUCCESS + LENGTH + LENGTH + BODY),
                malformed("list of lengths", SUCCESS + "Content-Length: 2, 2\r\n" + BODY),
                malformed("signed length", SUCCESS + "Content-Length: +2\r\n" + BODY),
                malformed("length and chunks", SUCCESS + LENGTH + CHUNKED + CHUNKS),
                malformed("chunks twice", SUCCESS + CHUNKED + CHUNKED + CHUNKS),
                malformed("chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + CHUNKED + CHUNKS),
                malformed("unknown transfer encoding", SUCCESS + "Transfer-Encoding: gzip, chunked\r\n" + CHUNKS),
                malformed("line without a colon", SUCCESS + "garbage\r\n" + LENGTH + BODY),
                malformed("space before the colon", SUCCESS + "Content-Length : 2\r\n" + BODY),
                malformed("folded line", SUCCESS + "Date: Sat\r\n folded\r\n" + LENGTH + BODY),
                malformed("folded length", SUCCESS + "Content-Length:\r\n 2\r\n" + BODY),
                malformed("line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\n{}"),
                malformed("carriage return in a line", SUCCESS + "Date: Sat\rRevision: 7\r\n" + LENGTH + BODY),
                malformed("null character", SUCCESS + "Date: \0\r\n" + LENGTH + BODY),
                malformed("empty line first", "\r\n" + SUCCESS + LENGTH + BODY),
                malformed("unknown version", "HTTP/2.0 200 OK\r\n" + LENGTH + BODY),
                malformed("status of four digits", "HTTP/1.1 2000 OK\r\n" + LENGTH + BODY),
                malformed("status of zeros", "HTTP/1.1 000 Odd\r\n" + LENGTH + BODY),
                malformed("status above the last class", "HTTP/1.1 600 Odd\r\n" + LENGTH + BODY),
                malformed("no content with a length", "HTTP/1.1 204 No Content\r\n" + LENGTH + BODY),
                malformed("interim response with a length", "HTTP/1.1 102 Processing\r\n" + LENGTH + BODY),
                malformed("switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + SUCCESS + LENGTH + BODY),
                malformed("interim responses without end", "HTTP/1.1 102 Processing\r\n\r\n".repeat(20_000)));
    }

    private static Stream<Arguments> bodies() {
        return Stream.of(
                malformed("no stated end", SUCCESS + BODY),
                malformed("size of a chunk is no number", SUCCESS + CHUNKED + "\r\nzz\r\n{}\r\n0\r\n\r\n"),
                malformed("size of a chunk is negative", SUCCESS + CHUNKED + "\r\n-2\r\n{}\r\n0\r\n\r\n"),
                malformed("size of a chunk overflows", SUCCESS + CHUNKED + "\r\n10000000000000002\r\n{}\r\n0\r\n\r\n"),
                malformed("chunk longer than its size", SUCCESS + CHUNKED + "\r\n1\r\n{}\r\n0\r\n\r\n"),
                malformed("chunks with line feeds alone", SUCCESS + CHUNKED + "\r\n2\n{}\n0\n\n"),
                malformed("response in a chunk size", SUCCESS + CHUNKED + "\r\n2\r\n{}\r\n" + CONFLICT + LENGTH + BODY),
                malformed(
                        "response in the trailers",
                        SUCCESS + CHUNKED + "\r\n2\r\n{}\r\n0\r\n" + CONFLICT + LENGTH + BODY));
    }

    private static Arguments malformed(final String name, final String response) {
        return Arguments.of(name, response);
    }
}
