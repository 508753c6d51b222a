package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with milliseconds since its start. Thread-safe. */
final class Record implements AutoCloseable {

    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(final Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long ms() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized long add(final String line) {
        long ms = ms();
        out.println(ms + " " + line);
        return ms;
    }

    /** Adds a line that is also printed. */
    void say(final String line) {
        add(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
