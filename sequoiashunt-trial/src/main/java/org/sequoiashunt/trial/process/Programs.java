package org.sequoiashunt.trial.process;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Finds the packaged programs of the neighbouring modules. Not instantiable; thread-safe.
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
        return findJar("sequoiashunt-node");
    }

    /**
     * Finds the operator's program.
     *
     * @return the file, never null.
     * @throws IOException if it was not built.
     */
    public static Path operator() throws IOException {
        return findJar("sequoiashunt-operator");
    }

    /**
     * Reads the options with which a node's virtual machine is started.
     *
     * @return the options, never null.
     * @throws IOException if they cannot be read.
     */
    public static List<String> nodeOptions() throws IOException {
        Path file = repositoryRoot().resolve("sequoiashunt-node/src/main/launch/node.options");
        return Files.readAllLines(file).stream()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .toList();
    }

    private static Path findJar(final String module) throws IOException {
        Path jar = repositoryRoot().resolve(module).resolve("target").resolve(module + ".jar");
        if (!Files.exists(jar)) {
            throw new IOException(jar + " is missing: run 'mvn package' or 'mvn verify' first");
        }
        return jar;
    }

    /** Derives the repository root, three levels above this module's classes or jar in {@code target}. */
    private static Path repositoryRoot() throws IOException {
        try {
            Path codeLocation = Path.of(Programs.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            return codeLocation.getParent().getParent().getParent();
        } catch (URISyntaxException exception) {
            throw new IOException("cannot find the workspace", exception);
        }
    }
}
