package org.sequoiashunt.trial.measurement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;

/**
 * Memory and processor time of one process, read from the system.
 *
 * <p>Immutable and thread-safe.
 *
 * @param residentKilobytes resident memory.
 * @param processorMs processor time used so far, in milliseconds.
 */
record ProcessReading(long residentKilobytes, long processorMs) {

    private static final long MS_PER_TICK = 10;
    private static final int USER_FIELD = 11;
    private static final int SYSTEM_FIELD = 12;

    static ProcessReading of(final long processId) throws IOException {
        Path directory = Path.of("/proc", Long.toString(processId));
        return new ProcessReading(resident(directory.resolve("status")), processor(directory.resolve("stat")));
    }

    private static long resident(final Path status) throws IOException {
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .map(line -> line.replaceAll("[^0-9]", ""))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElseThrow(() -> new IOException("no resident size in " + status));
    }

    /** The fields after the command's name, which may hold spaces but ends with the last parenthesis. */
    private static long processor(final Path stat) throws IOException {
        String text = Objects.requireNonNull(Files.readString(stat));
        String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD])) * MS_PER_TICK;
    }
}
