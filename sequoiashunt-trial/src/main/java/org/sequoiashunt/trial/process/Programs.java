package org.sequoiashunt.trial.process;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Finds the built programs beside this module. Not instantiable; thread-safe.
 */
public final class Programs {

    private Programs() {}

    /**
     * Finds the node's program.
     *
     * @return the file, never null.
     * @throws IOException if it was not built.
     */
    public static Path node() throws IOException {
        return find("sequoiashunt-node");
    }

    /**
     * Finds the operator's program.
     *
     * @return the file, never null.
     * @throws IOException if it was not built.
     */
    public static Path operator() throws IOException {
        return find("sequoiashunt-operator");
    }

    /**
     * Reads the options with which a node's virtual machine is started.
     *
     * @return the options, never null.
     * @throws IOException if they cannot be read.
     */
    public static List<String> nodeOptions() throws IOException {
        Path file = workspace().resolve("sequoiashunt-node/src/main/launch/node.options");
        return Files.readAllLines(file).stream()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .toList();
    }

    private static Path find(final String module) throws IOException {
        Path jar = workspace().resolve(module).resolve("target").resolve(module + ".jar");
        if (!Files.exists(jar)) {
            throw new IOException(jar + " is missing: run 'mvn package' or 'mvn verify' first");
        }
        return jar;
    }

    /** The module's classes or jar lie two levels below the module's folder's parent. */
    private static Path workspace() throws IOException {
        try {
            Path own = Path.of(Programs.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            return own.getParent().getParent().getParent();
        } catch (URISyntaxException exception) {
            throw new IOException("cannot find the workspace", exception);
        }
    }
}
