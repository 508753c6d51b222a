package org.sequoiashunt.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Pattern;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Reads the settings of a node from YAML and checks them as a whole: all problems are reported at once, each with the
 * path of its key.
 *
 * <p>Not thread-safe: create one reader for each file.
 */
public final class SettingsReader {

    private static final Set<String> KEYS = Set.of(
            "node",
            "failureDomain",
            "region",
            "callers",
            "link",
            "admin",
            "store",
            "contacts",
            "maximumBodyBytes",
            "drainMs");
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_-]*");
    private static final NodeAddress PLACEHOLDER_ADDRESS = new NodeAddress("127.0.0.1", 1);
    private static final int LARGEST_MAXIMUM_BODY_BYTES = 16_777_216;
    private static final long LARGEST_DRAIN_MS = 600_000;

    private final List<String> problems = new ArrayList<>();
    private final JsonNode root;

    private SettingsReader(final JsonNode root) {
        this.root = root;
    }

    /**
     * Reads a file.
     *
     * @param file the file, not null.
     * @return the settings, never null.
     * @throws SettingsException if the file cannot be read or its content is invalid.
     */
    public static NodeSettings read(final Path file) throws SettingsException {
        Objects.requireNonNull(file, "file");
        try {
            return read(Files.readString(file));
        } catch (IOException exception) {
            throw new SettingsException(List.of("cannot read '" + file + "': " + exception.getMessage()));
        }
    }

    /**
     * Reads settings from text.
     *
     * @param yaml the text, not null.
     * @return the settings, never null.
     * @throws SettingsException if the content is invalid.
     */
    public static NodeSettings read(final String yaml) throws SettingsException {
        Objects.requireNonNull(yaml, "yaml");
        return new SettingsReader(parse(yaml)).readSettings();
    }

    private static JsonNode parse(final String yaml) throws SettingsException {
        try {
            JsonNode root = new YAMLMapper().readTree(yaml);
            if (root == null || !root.isObject()) {
                throw new SettingsException(List.of("expected a mapping of keys to values"));
            }
            return root;
        } catch (IOException exception) {
            throw new SettingsException(List.of("not valid YAML: " + firstLine(exception)));
        }
    }

    private static String firstLine(final IOException exception) {
        return exception.getMessage().lines().findFirst().orElse("");
    }

    private NodeSettings readSettings() throws SettingsException {
        checkKeys();
        NodeSettings settings = new NodeSettings(
                readName("node"),
                readName("failureDomain"),
                readName("region"),
                readAddress("callers"),
                readAddress("link"),
                readAddress("admin"),
                readAddress("store"),
                readContacts(),
                (int) readWholeNumber(
                        "maximumBodyBytes", NodeSettings.DEFAULT_MAXIMUM_BODY_BYTES, LARGEST_MAXIMUM_BODY_BYTES),
                readWholeNumber("drainMs", NodeSettings.DEFAULT_DRAIN_MS, LARGEST_DRAIN_MS));
        checkDistinct(settings);
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return settings;
    }

    private void checkKeys() {
        for (Iterator<String> names = root.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!KEYS.contains(name)) {
                problems.add(name + ": unknown key; known keys are "
                        + String.join(", ", KEYS.stream().sorted().toList()));
            }
        }
    }

    private String readName(final String key) {
        JsonNode value = root.get(key);
        if (value == null || value.isNull()) {
            problems.add(key + ": missing");
            return "";
        }
        if (!value.isValueNode() || !NAME.matcher(value.asText()).matches()) {
            problems.add(key + ": expected letters, digits, '-' and '_' but got '" + value + "'");
            return "";
        }
        return value.asText();
    }

    private NodeAddress readAddress(final String key) {
        JsonNode value = root.get(key);
        if (value == null || value.isNull()) {
            problems.add(key + ": missing");
            return PLACEHOLDER_ADDRESS;
        }
        return readAddress(key, value);
    }

    private NodeAddress readAddress(final String path, final JsonNode value) {
        try {
            return NodeAddress.parse(value.isTextual() ? value.asText() : value.toString());
        } catch (IllegalArgumentException exception) {
            problems.add(path + ": " + exception.getMessage());
            return PLACEHOLDER_ADDRESS;
        }
    }

    private List<NodeAddress> readContacts() {
        JsonNode value = root.get("contacts");
        List<NodeAddress> contacts = new ArrayList<>();
        if (value == null || value.isNull()) {
            return contacts;
        }
        if (!value.isArray()) {
            problems.add("contacts: expected a list of host:port");
            return contacts;
        }
        for (int index = 0; index < value.size(); index++) {
            contacts.add(readAddress("contacts[" + index + "]", value.get(index)));
        }
        return contacts;
    }

    private long readWholeNumber(final String key, final long defaultValue, final long maximum) {
        JsonNode value = root.get(key);
        if (value == null || value.isNull()) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            problems.add(key + ": expected a whole number but got '" + value + "'");
            return defaultValue;
        }
        if (value.asLong() < 1 || value.asLong() > maximum) {
            problems.add(key + ": expected 1 to " + maximum + " but got " + value);
            return defaultValue;
        }
        return value.asLong();
    }

    private void checkDistinct(final NodeSettings settings) {
        if (!problems.isEmpty()) {
            return;
        }
        if (settings.callers().equals(settings.link())
                || settings.callers().equals(settings.admin())
                || settings.link().equals(settings.admin())) {
            problems.add("callers, link, admin: each needs an address of its own");
        }
    }
}
