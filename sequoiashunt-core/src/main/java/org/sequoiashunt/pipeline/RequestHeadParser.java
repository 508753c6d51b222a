package org.sequoiashunt.pipeline;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sequoiashunt.call.HeaderField;

/**
 * Parses the heads of pipelined requests before the HTTP server reaches them.
 *
 * <p>Accepts only GET requests of HTTP/1.1 in origin form, without a body, that every HTTP parser reads in the same
 * way; anything else is left to the server. A head that this parser accepts and the server reads differently would run
 * a request that the caller did not send, whereas a head that it does not accept is only served later.
 *
 * <p>Stateless and thread-safe.
 */
public final class RequestHeadParser {

    private static final int MAXIMUM_FIELDS = 64;

    /** Servers bound the number of query parameters; this bound is lower than that of any of them. */
    private static final int MAXIMUM_PARAMETERS = 100;

    /** Colons and semicolons are excluded from the path: servers take them for schemes or path parameters. */
    private static final Pattern REQUEST_LINE = Pattern.compile(
            "GET (/[A-Za-z0-9_.~!$'()*+,=@&%/-]*+)(?:\\?([A-Za-z0-9_.~!$'()*+,=@&%/:-]++))? HTTP/1\\.1");

    private static final Pattern PERCENT_ENCODING = Pattern.compile("%[0-9A-Fa-f]{2}");

    private static final Pattern FIELD =
            Pattern.compile("([A-Za-z0-9!#$%&'*+.^_`|~-]++): ?([\\x21-\\x7e][\\x20-\\x7e]*+)");

    /** Servers refuse other values with 400. */
    private static final Pattern HOST = Pattern.compile("[A-Za-z0-9](?:[A-Za-z0-9.-]*[A-Za-z0-9])?(?::[0-9]{1,4})?");

    /** Fields that announce a body, change the framing or the protocol, or end the connection. */
    private static final Set<String> EXCLUDED_FIELDS = Set.of(
            "content-length",
            "transfer-encoding",
            "expect",
            "upgrade",
            "te",
            "trailer",
            "http2-settings",
            "proxy-connection",
            "keep-alive",
            "x-http-method-override");

    private static final String LINE_END = "\r\n";

    private RequestHeadParser() {}

    /**
     * Parses the head that begins at an offset.
     *
     * @param bytes the bytes that have arrived, not null.
     * @param offset where the head begins.
     * @param maximumBytes the largest length of a head, in bytes.
     * @return the head; empty if it is incomplete, too long or unusual.
     */
    public static Optional<RequestHead> parse(final byte[] bytes, final int offset, final int maximumBytes) {
        int end = endOfHead(bytes, offset, maximumBytes);
        if (end < 0) {
            return Optional.empty();
        }
        // The end is that of the last field; its line end and the empty line follow.
        String text = new String(bytes, offset, end - offset, StandardCharsets.ISO_8859_1);
        String[] lines = text.split(LINE_END, -1);
        Matcher requestLine = REQUEST_LINE.matcher(lines[0]);
        if (lines.length - 1 > MAXIMUM_FIELDS || !requestLine.matches() || !isUsualTarget(lines[0])) {
            return Optional.empty();
        }
        String query = requestLine.group(2) == null ? "" : requestLine.group(2);
        Optional<List<HeaderField>> fields = parseFields(lines);
        if (fields.isEmpty() || query.chars().filter(value -> value == '&').count() >= MAXIMUM_PARAMETERS) {
            return Optional.empty();
        }
        return Optional.of(new RequestHead(
                requestLine.group(1), query, fields.get(), end - offset + LINE_END.length() + LINE_END.length()));
    }

    /** Excludes empty path segments and invalid percent-encodings, which servers normalise in different ways. */
    private static boolean isUsualTarget(final String requestLine) {
        return !requestLine.contains("//")
                && PERCENT_ENCODING.matcher(requestLine).replaceAll("").indexOf('%') < 0;
    }

    private static int endOfHead(final byte[] bytes, final int offset, final int maximumBytes) {
        int last = (int) Math.min(bytes.length, (long) offset + maximumBytes) - 2 * LINE_END.length();
        for (int index = offset; index <= last; index++) {
            if (bytes[index] == '\r'
                    && bytes[index + 1] == '\n'
                    && bytes[index + 2] == '\r'
                    && bytes[index + 3] == '\n') {
                return index;
            }
        }
        return -1;
    }

    private static Optional<List<HeaderField>> parseFields(final String[] lines) {
        List<HeaderField> fields = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (int index = 1; index < lines.length; index++) {
            Matcher field = FIELD.matcher(lines[index]);
            // How a server trims or folds white space must not matter.
            if (!field.matches() || lines[index].endsWith(" ") || lines[index].contains("  ")) {
                return Optional.empty();
            }
            String name = field.group(1).toLowerCase(Locale.ROOT);
            boolean endsConnection =
                    name.equals("connection") && !field.group(2).equalsIgnoreCase("keep-alive");
            boolean invalidHost =
                    name.equals("host") && !HOST.matcher(field.group(2)).matches();
            if (!names.add(name) || EXCLUDED_FIELDS.contains(name) || endsConnection || invalidHost) {
                return Optional.empty();
            }
            fields.add(new HeaderField(field.group(1), field.group(2)));
        }
        return names.contains("host") ? Optional.of(fields) : Optional.empty();
    }
}
