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
 * Writes one JSON object a line for each decision that touches a request or changes what the node believes.
 *
 * <p>Each kind of line has a budget for each second; what exceeds it is left out and counted in the next line of its
 * kind. Lines are written by a thread of their own; a full buffer drops lines and counts them.
 *
 * <p>Thread-safe; never blocks. Invariant: memory and lines for each second are bounded.
 */
public final class DecisionLog implements AutoCloseable {

    private static final int BUFFERED_LINES = 2_048;
    private static final long END_MS = 300;

    /** Lines that a killed process may lose. */
    private static final long GATHER_MS = 40;

    private static final long SECOND_MS = 1_000;

    private final JsonFactory json = new JsonFactory();
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(BUFFERED_LINES);
    private final Map<LogKind, Budget> budgets = new EnumMap<>(LogKind.class);
    private final AtomicLong dropped = new AtomicLong();
    private final String node;
    private final Clock clock;
    private final PrintStream output;
    private final Thread writer;

    private DecisionLog(final String node, final Clock clock, final PrintStream output) {
        this.node = Objects.requireNonNull(node, "node");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.output = Objects.requireNonNull(output, "output");
        for (LogKind kind : LogKind.values()) {
            budgets.put(kind, new Budget(kind.linesPerSecond()));
        }
        writer = new Thread(this::write, "log");
        writer.setDaemon(true);
    }

    /**
     * Starts a log.
     *
     * @param node the name of the node, not null.
     * @param clock the clock, not null.
     * @param output where the lines go, not null.
     * @return the log, never null.
     */
    public static DecisionLog start(final String node, final Clock clock, final PrintStream output) {
        DecisionLog log = new DecisionLog(node, clock, output);
        log.writer.start();
        return log;
    }

    /**
     * Writes a line, if its kind has budget left.
     *
     * @param kind the kind of line, not null.
     * @param fields names and values in turn; values are strings, numbers or booleans.
     */
    public void log(final LogKind kind, final Object... fields) {
        long skipped = budgets.get(kind).take(clock.nowMs());
        if (skipped < 0) {
            return;
        }
        if (!lines.offer(line(kind, skipped, fields))) {
            dropped.incrementAndGet();
        }
    }

    private String line(final LogKind kind, final long skipped, final Object... fields) {
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
            if (skipped > 0) {
                generator.writeNumberField("leftOut", skipped);
            }
            generator.writeEndObject();
        } catch (IOException exception) {
            throw new IllegalStateException("a line could not be formed", exception);
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

    /** Lines are gathered for a moment, so that many of them cost one write. */
    private void write() {
        String first = "";
        try {
            while (true) {
                first = lines.take();
                Thread.sleep(GATHER_MS);
                writeAll(first);
                first = "";
            }
        } catch (InterruptedException exception) {
            writeAll(first);
        }
    }

    private void writeAll(final String first) {
        StringBuilder text = new StringBuilder();
        append(text, first);
        List<String> rest = new ArrayList<>();
        lines.drainTo(rest);
        rest.forEach(line -> append(text, line));
        long missing = dropped.getAndSet(0);
        if (missing > 0) {
            append(text, line(LogKind.LOG_DROPPED, 0, "lines", missing));
        }
        output.print(text);
        output.flush();
    }

    private static void append(final StringBuilder text, final String line) {
        if (!line.isEmpty()) {
            text.append(line).append('\n');
        }
    }

    /** Writes what is buffered and ends the thread. */
    @Override
    public void close() throws InterruptedException {
        writer.interrupt();
        writer.join(END_MS);
    }

    /** Lines of one kind in the current second. Guarded by its own monitor. */
    private static final class Budget {

        private final int linesPerSecond;
        private long second;
        private int taken;
        private long skipped;

        private Budget(final int linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }

        /** Returns how many lines were left out before this one, or -1 if this one is left out too. */
        private synchronized long take(final long nowMs) {
            if (nowMs / SECOND_MS != second) {
                second = nowMs / SECOND_MS;
                taken = 0;
            }
            if (taken >= linesPerSecond) {
                skipped++;
                return -1;
            }
            taken++;
            long before = skipped;
            skipped = 0;
            return before;
        }
    }
}
