package org.sequoiashunt.http;

import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.sequoiashunt.call.HeaderField;

/**
 * Parses exactly one response from bytes as they arrive. Unlike a lenient parser it accepts only what the HTTP grammar
 * allows: a line ends with CR LF, and a body has a stated end unless the rules say otherwise. Interim responses are
 * skipped.
 *
 * <p>Not thread-safe. Invariants: nothing is read past the end of the response; memory is reserved before bytes are
 * kept.
 */
final class ResponseParser implements AutoCloseable {

    /** Limit of all heads and trailers of one response together. */
    static final int MAXIMUM_HEAD_BYTES = 65_536;

    private static final int MAXIMUM_FIELDS = 200;
    private static final int MAXIMUM_CHUNK_LINE_BYTES = 1_024;
    private static final int HEAD_SEGMENT_BYTES = 1_024;
    private static final int SEGMENT_BYTES = 4_096;
    private static final int HEXADECIMAL = 16;
    private static final int MAXIMUM_CHUNK_DIGITS = 8;
    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;
    private static final String VERSION_11 = "HTTP/1.1";
    private static final String HEAD_METHOD = "HEAD";

    private final boolean answersHeadRequest;
    private final ResponseRules rules;
    private final ResponseMemory.Share share;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final List<byte[]> segments = new ArrayList<>();
    private List<HeaderField> fields = new ArrayList<>();
    private ResponseHeadValidator validator;
    private State state = State.HEAD;
    private String statusLine;
    private int headBytes;
    private int reservedHeadBytes;
    private int bodyBytes;
    private long remainingBytes;
    private boolean carriageReturnSeen;

    /**
     * Creates a parser.
     *
     * @param method the method of the request, not null.
     * @param rules what the response must comply with, not null.
     * @param onRevoked runs on any thread if the response is given up because others need its memory, not null.
     */
    ResponseParser(final String method, final ResponseRules rules, final Runnable onRevoked) {
        this.answersHeadRequest = HEAD_METHOD.equals(method);
        this.rules = rules;
        this.share = rules.memory().open(onRevoked);
        this.validator = new ResponseHeadValidator(rules.singleFields());
    }

    /**
     * Parses bytes up to the end of the response.
     *
     * @param input the bytes, not null; those behind the end of the response remain.
     * @throws InvalidResponseException if the bytes are no response.
     * @throws ResponseTooLargeException if a limit is exceeded.
     */
    void parse(final ByteBuffer input) throws IOException {
        try {
            while (input.hasRemaining() && state != State.COMPLETE) {
                if (state.isBody()) {
                    readBody(input);
                } else {
                    readLineByte(input.get());
                }
            }
        } catch (MalformedHeadException exception) {
            throw new InvalidResponseException(exception);
        }
    }

    /**
     * Ends the input.
     *
     * @return whether the response is complete now.
     */
    boolean endInput() {
        if (state == State.BODY_UNTIL_END) {
            state = State.COMPLETE;
        }
        return isComplete();
    }

    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Returns the status; call it only once the response is complete. */
    int status() {
        return Integer.parseInt(statusLine.substring(STATUS_START, STATUS_END));
    }

    /** Returns the fields of the head in their order; call it only once the response is complete. */
    List<HeaderField> fields() {
        return fields;
    }

    /** Tells whether the memory of the complete response is kept until this parser is closed. */
    boolean retainMemory() {
        return share.retain();
    }

    /** Returns the body and forgets it; call it only once, when the response is complete. */
    byte[] takeBody() {
        byte[] body = new byte[bodyBytes];
        int offset = 0;
        for (byte[] segment : segments) {
            int count = Math.min(segment.length, bodyBytes - offset);
            System.arraycopy(segment, 0, body, offset, count);
            offset += count;
        }
        segments.clear();
        return body;
    }

    /** Tells whether the server keeps the connection open; call it only once the response is complete. */
    boolean keepsConnectionOpen() {
        return statusLine.startsWith(VERSION_11)
                && fields.stream()
                        .filter(field -> field.name().equalsIgnoreCase("Connection"))
                        .noneMatch(
                                field -> field.value().toLowerCase(Locale.ROOT).contains("close"));
    }

    /** Releases the memory of the response. */
    @Override
    public void close() {
        share.close();
    }

    private void readLineByte(final byte next) throws IOException {
        if (carriageReturnSeen) {
            if (next != '\n') {
                throw new InvalidResponseException("a carriage return does not end a line");
            }
            carriageReturnSeen = false;
            String complete = line.toString(StandardCharsets.ISO_8859_1);
            line.reset();
            endLine(complete);
        } else if (next == '\r') {
            carriageReturnSeen = true;
        } else if (next == '\n') {
            throw new InvalidResponseException("a line ends without a carriage return");
        } else {
            appendToLine(next);
        }
    }

    private void appendToLine(final byte next) throws IOException {
        if (state.isOfChunk()) {
            if (line.size() >= MAXIMUM_CHUNK_LINE_BYTES) {
                throw new ResponseTooLargeException(
                        "the line of a chunk exceeds " + MAXIMUM_CHUNK_LINE_BYTES + " bytes");
            }
        } else {
            countHeadBytes(1);
        }
        line.write(next);
    }

    private void countHeadBytes(final int count) throws ResponseTooLargeException {
        headBytes += count;
        if (headBytes > MAXIMUM_HEAD_BYTES) {
            throw new ResponseTooLargeException("the head of the response exceeds " + MAXIMUM_HEAD_BYTES + " bytes");
        }
        while (headBytes > reservedHeadBytes) {
            share.reserve(HEAD_SEGMENT_BYTES);
            reservedHeadBytes += HEAD_SEGMENT_BYTES;
        }
    }

    private void endLine(final String complete) throws IOException {
        switch (state) {
            case HEAD:
                countHeadBytes(2);
                endHeadLine(complete);
                break;
            case CHUNK_SIZE:
                startChunk(complete);
                break;
            case CHUNK_END:
                if (!complete.isEmpty()) {
                    throw new InvalidResponseException("a chunk is longer than its size");
                }
                state = State.CHUNK_SIZE;
                break;
            case TRAILER:
                countHeadBytes(2);
                endTrailerLine(complete);
                break;
            default:
                throw new IllegalStateException("no line is read in state " + state);
        }
    }

    private void endHeadLine(final String complete) throws IOException {
        if (complete.isEmpty()) {
            validator.end();
            endHead();
            return;
        }
        validator.add(complete);
        if (statusLine == null) {
            statusLine = complete;
            return;
        }
        if (fields.size() >= MAXIMUM_FIELDS) {
            throw new ResponseTooLargeException("the response has more than " + MAXIMUM_FIELDS + " fields");
        }
        int colon = complete.indexOf(':');
        fields.add(new HeaderField(
                complete.substring(0, colon), complete.substring(colon + 1).trim()));
    }

    private void endHead() throws IOException {
        int status = status();
        if (status == StatusCodes.SWITCHING_PROTOCOLS) {
            throw new InvalidResponseException("the server switches protocols");
        }
        if (status < StatusCodes.OK) {
            validator = new ResponseHeadValidator(rules.singleFields());
            fields = new ArrayList<>();
            statusLine = null;
            return;
        }
        String length = valueOf("Content-Length");
        if (answersHeadRequest || status == StatusCodes.NO_CONTENT || status == StatusCodes.NOT_MODIFIED) {
            state = State.COMPLETE;
        } else if (length != null) {
            remainingBytes = Long.parseLong(length);
            checkBodySize(remainingBytes);
            state = remainingBytes == 0 ? State.COMPLETE : State.FIXED_BODY;
        } else if (valueOf("Transfer-Encoding") != null) {
            state = State.CHUNK_SIZE;
        } else if (rules.bodyMayEndWithConnection()) {
            remainingBytes = Long.MAX_VALUE;
            state = State.BODY_UNTIL_END;
        } else {
            throw new InvalidResponseException(
                    "the response has neither a Content-Length nor a Transfer-Encoding header");
        }
    }

    private String valueOf(final String name) {
        return fields.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .findFirst()
                .orElse(null);
    }

    private void startChunk(final String complete) throws IOException {
        int extension = complete.indexOf(';');
        String digits = (extension < 0 ? complete : complete.substring(0, extension)).stripTrailing();
        if (digits.isEmpty()
                || digits.length() > MAXIMUM_CHUNK_DIGITS
                || !digits.chars().allMatch(digit -> Character.digit(digit, HEXADECIMAL) >= 0 && digit < 'g')) {
            throw new InvalidResponseException("the size of a chunk is no number");
        }
        remainingBytes = Long.parseLong(digits, HEXADECIMAL);
        checkBodySize(bodyBytes + remainingBytes);
        state = remainingBytes == 0 ? State.TRAILER : State.CHUNK;
    }

    private void checkBodySize(final long bytes) throws ResponseTooLargeException {
        if (bytes > rules.maximumBodyBytes()) {
            throw new ResponseTooLargeException("the response exceeds " + rules.maximumBodyBytes() + " bytes");
        }
    }

    private void endTrailerLine(final String complete) throws IOException {
        if (complete.isEmpty()) {
            state = State.COMPLETE;
        } else {
            ResponseHeadValidator.checkField(complete);
        }
    }

    private void readBody(final ByteBuffer input) throws IOException {
        if (state == State.BODY_UNTIL_END) {
            checkBodySize((long) bodyBytes + input.remaining());
        }
        int used = bodyBytes % SEGMENT_BYTES;
        if (used == 0) {
            // The body is copied once when it is complete.
            share.reserve(2 * SEGMENT_BYTES);
            segments.add(new byte[SEGMENT_BYTES]);
        }
        int count = (int) Math.min(Math.min(input.remaining(), remainingBytes), SEGMENT_BYTES - used);
        input.get(segments.get(segments.size() - 1), used, count);
        bodyBytes += count;
        remainingBytes -= count;
        if (remainingBytes == 0) {
            state = state == State.FIXED_BODY ? State.COMPLETE : State.CHUNK_END;
        }
    }

    /** What the next byte belongs to. Immutable and thread-safe. */
    private enum State {
        HEAD,
        FIXED_BODY,
        BODY_UNTIL_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        COMPLETE;

        private boolean isBody() {
            return this == FIXED_BODY || this == BODY_UNTIL_END || this == CHUNK;
        }

        private boolean isOfChunk() {
            return this == CHUNK_SIZE || this == CHUNK_END;
        }
    }
}
