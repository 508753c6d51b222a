import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Record of what was sent, answered and run in one case, with the time in milliseconds since its start.
 *
 * <p>Thread-safe.
 */
final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;
    private final List<String> violations = new ArrayList<>();

    Record(final Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void log(final String format, final Object... arguments) {
        logAt(nowMs(), format, arguments);
    }

    synchronized void logAt(final long atMs, final String format, final Object... arguments) {
        writer.printf(Locale.ROOT, "%7d %s%n", atMs, String.format(Locale.ROOT, format, arguments));
    }

    /** Records that the rule was broken. */
    synchronized void violation(final String format, final Object... arguments) {
        String text = String.format(Locale.ROOT, format, arguments);
        violations.add(text);
        log("BROKEN %s", text);
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    @Override
    public void close() {
        writer.close();
    }
}
