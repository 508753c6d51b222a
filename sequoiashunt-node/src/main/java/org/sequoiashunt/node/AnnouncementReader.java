package org.sequoiashunt.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Iterator;
import java.util.Set;
import java.util.regex.Pattern;
import org.sequoiashunt.gate.AnnouncedTarget;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Parses and checks announcements of targets. Not instantiable; thread-safe.
 */
final class AnnouncementReader {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final Set<String> KEYS =
            Set.of("service", "version", "address", "slots", "connections", "healthPath", "loadPath");

    private AnnouncementReader() {}

    static AnnouncedTarget parse(final ObjectMapper mapper, final String target, final byte[] bytes)
            throws AnnouncementException {
        JsonNode root = read(mapper, bytes);
        checkKeys(root);
        try {
            return new AnnouncedTarget(
                    requireName("target", target),
                    requireName("service", requireText(root, "service")),
                    requireName("version", requireText(root, "version")),
                    NodeAddress.parse(requireText(root, "address")),
                    requireWholeNumber(root, "slots"),
                    requireWholeNumber(root, "connections"),
                    root.path("healthPath").asText(""),
                    root.path("loadPath").asText(""));
        } catch (IllegalArgumentException exception) {
            throw new AnnouncementException(exception.getMessage());
        }
    }

    private static JsonNode read(final ObjectMapper mapper, final byte[] bytes) throws AnnouncementException {
        try {
            JsonNode root = mapper.readTree(bytes);
            if (root == null || !root.isObject()) {
                throw new AnnouncementException("expected a JSON object");
            }
            return root;
        } catch (IOException exception) {
            throw new AnnouncementException("not valid JSON");
        }
    }

    private static void checkKeys(final JsonNode root) throws AnnouncementException {
        for (Iterator<String> names = root.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!KEYS.contains(name)) {
                throw new AnnouncementException("unknown key '" + name + "'");
            }
        }
    }

    private static String requireText(final JsonNode root, final String key) throws AnnouncementException {
        JsonNode value = root.get(key);
        if (value == null || !value.isTextual()) {
            throw new AnnouncementException(key + ": expected text");
        }
        return value.asText();
    }

    private static String requireName(final String key, final String value) throws AnnouncementException {
        if (!NAME.matcher(value).matches()) {
            throw new AnnouncementException(key + ": expected letters, digits, '.', '_' and '-'");
        }
        return value;
    }

    private static int requireWholeNumber(final JsonNode root, final String key) throws AnnouncementException {
        JsonNode value = root.get(key);
        if (value == null || !value.canConvertToInt() || !value.isIntegralNumber()) {
            throw new AnnouncementException(key + ": expected a whole number");
        }
        return value.asInt();
    }
}
