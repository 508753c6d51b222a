package org.sequoiashunt.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks that lines are the head of one HTTP response that states the end of its body at most once.
 *
 * <p>A server may break off in a head and write another response behind it. A parser that passes over lines which are
 * no header field, or keeps one of two equal fields, then makes one response of parts of both. This class therefore
 * rejects every line that is no header field, fields that may stand once and stand twice, and status lines behind the
 * first line, even within a field value. A head that is cut where a line ends and goes on with the last lines of
 * another cannot be recognised.
 *
 * <p>Use one instance a head. Not thread-safe.
 */
public final class ResponseHeadValidator {

    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.([01]) ([1-5][0-9]{2})(?: (.*))?", Pattern.DOTALL);
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+.^_`|~-";
    private static final char DELETE = 0x7F;
    private static final Pattern EMBEDDED_STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: |$)");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final int LOWEST_FINAL_STATUS = 200;
    private static final int NO_CONTENT_STATUS = 204;

    private final Set<String> singleNames;
    private final Set<String> seenSingleNames = new HashSet<>();
    private int status;
    private boolean isVersion10;
    private String contentLength;
    private boolean chunked;

    /**
     * Creates a validator for one head.
     *
     * @param singleNames the names, in lower case, of the fields that may stand only once beside Content-Length and
     *     Transfer-Encoding, not null.
     */
    public ResponseHeadValidator(final Set<String> singleNames) {
        this.singleNames = Objects.requireNonNull(singleNames, "singleNames");
    }

    /**
     * Adds the next line.
     *
     * @param line the line without its end, not null and not empty; the first one is the status line.
     * @throws MalformedHeadException if the line cannot stand here.
     */
    public void add(final String line) throws MalformedHeadException {
        if (line.chars().anyMatch(each -> each < ' ' && each != '\t' || each == DELETE)) {
            throw new MalformedHeadException("a line contains a control character");
        }
        if (status == 0) {
            addStatusLine(line);
        } else {
            addField(line);
        }
    }

    private void addStatusLine(final String line) throws MalformedHeadException {
        Matcher matcher = STATUS_LINE.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedHeadException("the first line is no status line");
        }
        String phrase = matcher.group(3);
        if (phrase != null && holdsStatusLine(phrase)) {
            throw new MalformedHeadException("two status lines in one head");
        }
        isVersion10 = matcher.group(1).equals("0");
        status = Integer.parseInt(matcher.group(2));
    }

    /**
     * Checks one header or trailer field on its own.
     *
     * @param line the line without its end, not null.
     * @throws MalformedHeadException if the line is no header field, or holds a status line.
     */
    public static void checkField(final String line) throws MalformedHeadException {
        nameLength(line);
    }

    /** Returns the length of the name of a header field. */
    private static int nameLength(final String line) throws MalformedHeadException {
        if (holdsStatusLine(line)) {
            throw new MalformedHeadException("two status lines in one head");
        }
        int colon = line.indexOf(':');
        if (colon < 1 || !line.chars().limit(colon).allMatch(ResponseHeadValidator::isTokenCharacter)) {
            throw new MalformedHeadException("a line is no header field");
        }
        return colon;
    }

    private static boolean holdsStatusLine(final String text) {
        return text.contains(VERSION_PREFIX)
                && EMBEDDED_STATUS_LINE.matcher(text).find();
    }

    private static boolean isTokenCharacter(final int character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || TOKEN_PUNCTUATION.indexOf(character) >= 0;
    }

    private void addField(final String line) throws MalformedHeadException {
        int nameLength = nameLength(line);
        String name = line.substring(0, nameLength).toLowerCase(Locale.ROOT);
        String value = line.substring(nameLength + 1).trim();
        boolean isFraming = name.equals(CONTENT_LENGTH) || name.equals(TRANSFER_ENCODING);
        if ((isFraming || singleNames.contains(name)) && !seenSingleNames.add(name)) {
            throw new MalformedHeadException("a field that may stand once stands twice");
        }
        if (name.equals(CONTENT_LENGTH)) {
            addLength(value);
        } else if (name.equals(TRANSFER_ENCODING)) {
            addTransferEncoding(value);
        }
    }

    private void addLength(final String value) throws MalformedHeadException {
        if (!LENGTH.matcher(value).matches()) {
            throw new MalformedHeadException("the length of the body is no number");
        }
        contentLength = value;
    }

    private void addTransferEncoding(final String value) throws MalformedHeadException {
        if (isVersion10 || !value.equalsIgnoreCase("chunked")) {
            throw new MalformedHeadException("unknown transfer encoding");
        }
        chunked = true;
    }

    /**
     * Ends the head.
     *
     * @throws MalformedHeadException if there is no status line, or the fields contradict each other or the status.
     */
    public void end() throws MalformedHeadException {
        if (status == 0) {
            throw new MalformedHeadException("no status line");
        }
        if (chunked && contentLength != null) {
            throw new MalformedHeadException("both a length and a transfer encoding");
        }
        boolean hasNoBody = status < LOWEST_FINAL_STATUS || status == NO_CONTENT_STATUS;
        if (hasNoBody && (chunked || contentLength != null && Long.parseLong(contentLength) > 0)) {
            throw new MalformedHeadException("a body with a status that has none");
        }
    }
}
