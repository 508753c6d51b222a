package org.sequoiashunt.manifest;

import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;

/**
 * Reads a manifest in YAML and checks it: all errors are reported together, each with its line.
 *
 * <p>Call {@link #read} with the bytes of the file. Not instantiable; thread-safe.
 */
public final class ManifestReader {

    /** Largest manifest, in bytes: four thousand services of 4 KB each. */
    public static final int MAXIMUM_BYTES = 16 * 1_048_576;

    private static final int MAXIMUM_NESTING = 20;
    private static final String WHOLE_FILE = "";

    private ManifestReader() {}

    /**
     * Reads a manifest.
     *
     * @param file the name of the file as messages state it, not null.
     * @param bytes the content in UTF-8, not null.
     * @return the checked manifest, never null.
     * @throws ManifestException if the manifest is invalid; the exception holds all errors.
     */
    public static Manifest read(final String file, final byte[] bytes) throws ManifestException {
        Objects.requireNonNull(bytes, "bytes");
        ProblemList problems = new ProblemList(file);
        Optional<Node> root = parse(bytes, problems);
        problems.throwIfErrors();
        Optional<YamlMappingReader> mapping = YamlMappingReader.of(root.orElseThrow(), WHOLE_FILE, problems);
        problems.throwIfErrors();
        return readContent(mapping.orElseThrow(), problems);
    }

    private static Optional<Node> parse(final byte[] bytes, final ProblemList problems) {
        if (bytes.length > MAXIMUM_BYTES) {
            problems.errorAt(1, WHOLE_FILE, "larger than " + MAXIMUM_BYTES + " bytes", Optional.empty());
            return Optional.empty();
        }
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            Node root = new Yaml(new SafeConstructor(options())).compose(new StringReader(text));
            if (root == null) {
                problems.errorAt(1, WHOLE_FILE, "the manifest is empty", Optional.empty());
            }
            return Optional.ofNullable(root);
        } catch (CharacterCodingException exception) {
            problems.errorAt(1, WHOLE_FILE, "not encoded in UTF-8", Optional.empty());
        } catch (MarkedYAMLException exception) {
            int line = exception.getProblemMark() == null
                    ? 1
                    : exception.getProblemMark().getLine() + 1;
            problems.errorAt(line, WHOLE_FILE, "not valid YAML: " + exception.getProblem(), Optional.empty());
        } catch (YAMLException exception) {
            problems.errorAt(1, WHOLE_FILE, "not valid YAML: " + exception.getMessage(), Optional.empty());
        }
        return Optional.empty();
    }

    private static LoaderOptions options() {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAXIMUM_BYTES);
        options.setNestingDepthLimit(MAXIMUM_NESTING);
        options.setMergeOnCompose(false);
        return options;
    }

    private static Manifest readContent(final YamlMappingReader root, final ProblemList problems)
            throws ManifestException {
        root.rejectUnknownKeys(List.of("groups", "services"));
        SortedMap<String, List<String>> groups = root.find("groups")
                .flatMap(node -> YamlMappingReader.of(node, "groups", problems))
                .map(mapping -> new GroupReader(problems).read(mapping))
                .orElseGet(TreeMap::new);
        SortedMap<String, ServiceConfiguration> services = root.require("services")
                .flatMap(node -> YamlMappingReader.of(node, "services", problems))
                .map(mapping -> readServices(mapping, new ServiceReader(problems, groups.keySet()), problems))
                .orElseGet(TreeMap::new);
        problems.throwIfErrors();
        return new Manifest(groups, services, problems.warnings());
    }

    private static SortedMap<String, ServiceConfiguration> readServices(
            final YamlMappingReader mapping, final ServiceReader reader, final ProblemList problems) {
        SortedMap<String, ServiceConfiguration> services = new TreeMap<>();
        if (mapping.entries().isEmpty()) {
            problems.error(mapping.node(), mapping.path(), "there must be at least one service");
        }
        YamlNodeReader nodes = new YamlNodeReader(problems);
        for (Map.Entry<String, NodeTuple> entry : mapping.entries().entrySet()) {
            String service = entry.getKey();
            nodes.checkName(entry.getValue().getKeyNode(), mapping.pathOf(service), service);
            YamlMappingReader.of(entry.getValue().getValueNode(), mapping.pathOf(service), problems)
                    .flatMap(child -> reader.read(service, child))
                    .ifPresent(configuration -> services.put(service, configuration));
        }
        return services;
    }
}
