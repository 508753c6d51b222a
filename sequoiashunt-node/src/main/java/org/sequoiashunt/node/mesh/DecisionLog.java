package org.sequoiashunt.node.mesh;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiashunt.time.Clock;

/**
 * Structured log of the decisions that affect a request or change the node's state, one JSON object per line.
 *
 * <p>Each kind of line has a limit per second; lines beyond it are omitted and counted in the next line of that kind. A
 * separate thread writes the lines; a full buffer drops lines and counts them.
 *
 * <p>Thread-safe; logging never blocks. Invariant: memory use and the number of lines per second are bounded.
 */
public final class DecisionLog implements AutoCloseable {

    private static final int BUFFERED_LINES = 2_048;
    private static final long CLOSE_TIMEOUT_MS = 300;

    /** Time for which lines are collected into one write; a killed process may lose the lines of this time. */
    private static final long BATCH_DELAY_MS = 40;

    private static final long MS_PER_SECOND = 1_000;

    private final JsonFactory json = new JsonFactory();
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(BUFFERED_LINES);
    private final Map<LogKind, LineBudget> budgets = new EnumMap<>(LogKind.class);
    private final AtomicLong droppedLines = new AtomicLong();
    private final String node;
    private final Clock clock;
    private final PrintStream output;
    private final Thread writer;

    private DecisionLog(final String node, final Clock clock, final PrintStream output) {
        this.node = Objects.requireNonNull(node, "node");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.output = Objects.requireNonNull(output, "output");
        for (LogKind kind : LogKind.values()) {
            budgets.put(kind, new LineBudget(kind.linesPerSecond()));
        }
        writer = new Thread(this::runWriter, "log");
        writer.setDaemon(true);
    }

    /**
     * Creates a log and starts its writer thread.
     *
     * @param node the name of the node, part of each line, not null.
     * @param clock the time source of the lines and their limits, not null.
     * @param output the stream to which lines are written, not null; closing the log leaves it open.
     * @return the running log, never null.
     */
    public static DecisionLog start(final String node, final Clock clock, final PrintStream output) {
        DecisionLog log = new DecisionLog(node, clock, output);
        log.writer.start();
        return log;
    }

    /**
     * Writes a line unless its kind has reached its limit for the current second.
     *
     * @param kind the kind of line, not null.
     * @param fields alternating names and values; values are strings, integers or booleans, and others are written by
     *     their string form.
     */
    public void log(final LogKind kind, final Object... fields) {
        long omittedLines = budgets.get(kind).acquire(clock.nowMs());
        if (omittedLines < 0) {
            return;
        }
        if (!lines.offer(formatLine(kind, omittedLines, fields))) {
            droppedLines.incrementAndGet();
        }
    }

    private String formatLine(final LogKind kind, final long omittedLines, final Object... fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = json.createGenerator(text)) {
            generator.writeStartObject();
            generator.writeStringField(
                    "time", Instant.ofEpochMilli(clock.nowMs()).toString());
            generator.writeStringField("node", node);
            generator.writeStringField("event", kind.label());
            for (int index = 0; index + 1 < fields.length; index += 2) {
                generator.writeFieldName(String.valueOf(fields[index]));
                writeValue(generator, fields[index + 1]);
            }
            if (omittedLines > 0) {
                generator.writeNumberField("leftOut", omittedLines);
            }
            generator.writeEndObject();
        } catch (IOException exception) {
            throw new IllegalStateException("cannot format a log line as JSON", exception);
        }
        return text.toString();
    }

    private static void writeValue(final JsonGenerator generator, final Object value) throws IOException {
        if (value instanceof Integer || value instanceof Long) {
            generator.writeNumber(((Number) value).longValue());
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else {
            generator.writeString(String.valueOf(value));
        }
    }

    /** Collects lines for a short time before each write, so that many lines cost one write. */
    private void runWriter() {
        String first = "";
        try {
            while (true) {
                first = lines.take();
                Thread.sleep(BATCH_DELAY_MS);
                writeBatch(first);
                first = "";
            }
        } catch (InterruptedException exception) {
            writeBatch(first);
        }
    }

    private void writeBatch(final String first) {
        StringBuilder text = new StringBuilder();
        append(text, first);
        List<String> rest = new ArrayList<>();
        lines.drainTo(rest);
        rest.forEach(line -> append(text, line));
        long droppedCount = droppedLines.getAndSet(0);
        if (droppedCount > 0) {
            append(text, formatLine(LogKind.LOG_DROPPED, 0, "lines", droppedCount));
        }
        output.print(text);
        output.flush();
    }

    private static void append(final StringBuilder text, final String line) {
        if (!line.isEmpty()) {
            text.append(line).append('\n');
        }
    }

    /** Writes the buffered lines and ends the writer thread; does not wait longer than {@code CLOSE_TIMEOUT_MS}. */
    @Override
    public void close() throws InterruptedException {
        writer.interrupt();
        writer.join(CLOSE_TIMEOUT_MS);
    }

    /** Limits the lines of one kind per second. Thread-safe: guarded by this object's monitor. */
    private static final class LineBudget {

        private final int linesPerSecond;
        private long second;
        private int writtenLines;
        private long omittedLines;

        private LineBudget(final int linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }

        /** Returns the number of lines omitted since the last permitted one, or -1 if this line must be omitted too. */
        private synchronized long acquire(final long nowMs) {
            if (nowMs / MS_PER_SECOND != second) {
                second = nowMs / MS_PER_SECOND;
                writtenLines = 0;
            }
            if (writtenLines >= linesPerSecond) {
                omittedLines++;
                return -1;
            }
            writtenLines++;
            long omittedBefore = omittedLines;
            omittedLines = 0;
            return omittedBefore;
        }
    }
}
