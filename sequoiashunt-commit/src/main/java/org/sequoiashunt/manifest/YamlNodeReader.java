package org.sequoiashunt.manifest;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeId;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * Reads typed values from YAML nodes and reports nodes of another type. Confined to one thread.
 */
final class YamlNodeReader {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9]([A-Za-z0-9.-]{0,62}[A-Za-z0-9])?");
    private static final Pattern WHOLE_NUMBER = Pattern.compile("0|[1-9][0-9]{0,8}");

    private final ProblemList problems;

    YamlNodeReader(final ProblemList problems) {
        this.problems = problems;
    }

    Optional<String> readText(final Node node, final String path) {
        if (!(node instanceof ScalarNode scalar)) {
            problems.error(node, path, "expected text but found " + describe(node));
            return Optional.empty();
        }
        if (!scalar.getTag().equals(Tag.STR)) {
            boolean empty = scalar.getTag().equals(Tag.NULL);
            Optional<String> quoted = empty ? Optional.empty() : Optional.of("\"" + scalar.getValue() + "\"");
            problems.error(node, path, "expected text but found " + describe(node), quoted);
            return Optional.empty();
        }
        return Optional.of(scalar.getValue());
    }

    /** Reads a name of letters, digits, dots and hyphens, which can be part of a store key. */
    Optional<String> readName(final Node node, final String path) {
        return readText(node, path).filter(text -> checkName(node, path, text));
    }

    boolean checkName(final Node node, final String path, final String text) {
        if (NAME.matcher(text).matches()) {
            return true;
        }
        problems.error(
                node,
                path,
                "'" + text + "' is not a name: use 1 to 64 letters, digits, dots and hyphens,"
                        + " with a letter or digit at both ends");
        return false;
    }

    Optional<Boolean> readBoolean(final Node node, final String path) {
        String value = node instanceof ScalarNode scalar ? scalar.getValue() : "";
        if (node.getTag().equals(Tag.BOOL) && Set.of("true", "false").contains(value)) {
            return Optional.of(Boolean.valueOf(value));
        }
        problems.error(node, path, "expected true or false but found " + describe(node));
        return Optional.empty();
    }

    Optional<Long> readNumber(final Node node, final String path, final long minimum, final long maximum) {
        if (!node.getTag().equals(Tag.INT)
                || !WHOLE_NUMBER.matcher(valueOf(node)).matches()) {
            problems.error(node, path, "expected a whole number but found " + describe(node));
            return Optional.empty();
        }
        long number = Long.parseLong(valueOf(node));
        if (number < minimum || number > maximum) {
            problems.error(node, path, number + " is out of range: expected " + minimum + " to " + maximum);
            return Optional.empty();
        }
        return Optional.of(number);
    }

    /** Returns the text of a scalar that YAML takes for text or a timestamp. */
    Optional<String> readTimeText(final Node node, final String path) {
        if (node.getTag().equals(Tag.TIMESTAMP) || node.getTag().equals(Tag.STR) && node instanceof ScalarNode) {
            return Optional.of(valueOf(node));
        }
        problems.error(node, path, "expected a point in time but found " + describe(node));
        return Optional.empty();
    }

    /** Returns the elements of a list, or empty after reporting that the list is empty or no list. */
    Optional<List<Node>> readNonEmptyList(final Node node, final String path) {
        if (!(node instanceof SequenceNode sequence)) {
            problems.error(node, path, "expected a list but found " + describe(node));
            return Optional.empty();
        }
        if (sequence.getValue().isEmpty()) {
            problems.error(node, path, "the list must not be empty");
            return Optional.empty();
        }
        return Optional.of(sequence.getValue());
    }

    static String describe(final Node node) {
        if (node.getNodeId() == NodeId.mapping) {
            return "a mapping";
        }
        if (node.getNodeId() == NodeId.sequence) {
            return "a list";
        }
        if (node.getTag().equals(Tag.NULL)) {
            return "nothing";
        }
        String kind = node.getTag().equals(Tag.STR)
                ? "text"
                : node.getTag().getValue().replace(Tag.PREFIX, "");
        return "the " + kind + " '" + abbreviate(valueOf(node)) + "'";
    }

    private static String valueOf(final Node node) {
        return node instanceof ScalarNode scalar ? scalar.getValue() : "";
    }

    private static String abbreviate(final String text) {
        int longest = 60;
        return text.length() <= longest ? text : text.substring(0, longest) + "...";
    }
}
