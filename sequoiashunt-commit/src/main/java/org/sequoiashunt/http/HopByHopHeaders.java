package org.sequoiashunt.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.sequoiashunt.call.HeaderField;

/**
 * Removes the headers that apply to a single connection and must not be forwarded. Not instantiable; thread-safe.
 */
public final class HopByHopHeaders {

    private static final Set<String> NAMES = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private HopByHopHeaders() {}

    /**
     * Removes hop-by-hop headers, including those that the Connection header names, and the length of the body.
     *
     * @param fields the headers of a message, not null.
     * @return the headers that may be forwarded, in their order.
     */
    public static List<HeaderField> remove(final List<HeaderField> fields) {
        Set<String> removed = NAMES;
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase("connection")) {
                removed = new HashSet<>(removed);
                addNames(field.value(), removed);
            }
        }
        List<HeaderField> kept = new ArrayList<>(fields.size());
        for (HeaderField field : fields) {
            if (!removed.contains(field.name().toLowerCase(Locale.ROOT))) {
                kept.add(field);
            }
        }
        return kept;
    }

    private static void addNames(final String value, final Set<String> lowerCaseNames) {
        for (String name : value.split(",")) {
            lowerCaseNames.add(name.trim().toLowerCase(Locale.ROOT));
        }
    }
}
