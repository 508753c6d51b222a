package org.sequoiashunt.operator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.sequoiashunt.manifest.Manifest;
import org.sequoiashunt.manifest.ManifestException;
import org.sequoiashunt.manifest.ManifestReader;
import org.sequoiashunt.manifest.Problem;

/**
 * Reads manifests from files. Reads at most one byte more than the maximum size, so that the reader can detect a file
 * that is too large. Not instantiable; thread-safe.
 */
final class ManifestFile {

    private ManifestFile() {}

    static Manifest read(final String file) throws ManifestException, IOException {
        try (InputStream stream = Files.newInputStream(Path.of(file))) {
            return ManifestReader.read(file, stream.readNBytes(ManifestReader.MAXIMUM_BYTES + 1));
        } catch (NoSuchFileException exception) {
            throw new IOException("there is no file '" + file + "'", exception);
        } catch (IOException exception) {
            throw new IOException("'" + file + "' cannot be read: " + exception.getMessage(), exception);
        }
    }

    static String formatWarnings(final Manifest manifest) {
        return manifest.warnings().stream()
                .map(Problem::toString)
                .map(line -> "warning: " + line + "\n")
                .collect(Collectors.joining());
    }
}
