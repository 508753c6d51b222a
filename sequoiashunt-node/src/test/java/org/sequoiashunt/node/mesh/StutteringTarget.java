package org.sequoiashunt.node.mesh;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Fake target that cuts, joins, repeats and delays its answers as a seeded random source decides, and records what it
 * wrote for each run of a request.
 *
 * <p>Each request carries the number of its attempt, from which the answer is drawn. Whatever is written between the
 * answers of runs is the whole or a part of an earlier answer of the same connection, the beginning of the head of some
 * other answer, an interim answer, or no answer at all.
 *
 * <p>Two cases are never written since no reader can tell them from an answer: an answer that breaks off in a body of
 * stated length (or in the data of a chunk) and goes on with other bytes, and a head that is cut and goes on with the
 * last lines of another head. For the same reason, a body that ends with its connection is only cut by a reset, and
 * nothing follows it.
 *
 * <p>Thread-safe; each connection has a thread of its own.
 */
final class StutteringTarget implements Closeable {

    static final MeshHeaders HEADER_NAMES = new MeshHeaders(
            "Request-Id", "Left-Ms", "Signature", "Expected", "Not-Run", "Caller", "Organisation", "Load", "Warm-Up");
    static final String ATTEMPT_FIELD = "Attempt";

    private static final int LONGEST_PAUSE_MS = 12;
    private static final int LONGEST_SPLIT_PAUSE_MS = 3;
    private static final long RESET_DELAY_MS = 5;
    private static final long SEED_FACTOR = 1_000_003;
    private static final int[] STATUSES = {200, 200, 200, 200, 201, 204, 304, 404, 409, 500, 500, 500, 502, 504};
    private static final int[] REFUSALS = {503, 503, 429, 400, 421};
    private static final String[] NO_ANSWERS = {
        "garbage",
        "HTTP",
        "HTTP/1.1 ",
        "a: b",
        "\0\0",
        "%",
        "5",
        "HTTP/1.1 503 Busy\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 Reason\r\nSignature: s-other\r\nContent-Length: 0\r\n\r\n"
    };
    private static final String[] LINE_ENDS = {"\r\n", "\n", "\r"};

    /** How the answer of a run is written. */
    private enum Delivery {
        WHOLE,
        WHOLE_TWICE,
        CUT_IN_HEAD,
        CUT_BETWEEN_CHUNKS,
        CUT_AND_STOPPED,
        NOTHING
    }

    /** What the target does with the connection after the bytes of a run. */
    private enum Ending {
        KEEP,
        CLOSE,
        RESET
    }

    /**
     * One run of a request, or its refusal.
     *
     * @param attempt the number of the attempt that the request carries.
     * @param answer the answer that is due.
     * @param whole whether all bytes of the answer were written one after the other, up to its stated end.
     * @param bytesHeld whether bytes that are no whole answer came after the answer before, when the request was read.
     * @param undisturbed whether nothing but whole answers to other requests came before it on its connection.
     * @param transcript all that was written on the connection until this run ended.
     */
    record Run(
            int attempt,
            TargetAnswer answer,
            boolean whole,
            boolean bytesHeld,
            boolean undisturbed,
            String transcript) {}

    private final long seed;

    /** Probability that nothing unusual happens at one of the points where it may. */
    private final double steadiness;

    private final ServerSocket listener;
    private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Map<Integer, Integer> runCounts = new ConcurrentHashMap<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final List<Thread> threads = new CopyOnWriteArrayList<>();
    private final ConcurrentLinkedQueue<Throwable> failures = new ConcurrentLinkedQueue<>();

    StutteringTarget(final long seed) throws IOException {
        this.seed = seed;
        steadiness = seed % 2 == 0 ? 0.5 : 0.8;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(this::accept, "stuttering-target");
    }

    NodeAddress address() {
        return new NodeAddress("127.0.0.1", listener.getLocalPort());
    }

    int connectionCount() {
        return sockets.size();
    }

    /** Returns the runs by attempt; complete only once the target is closed. */
    Map<Integer, List<Run>> runsByAttempt() {
        Map<Integer, List<Run>> byAttempt = new HashMap<>();
        runs.forEach(run -> byAttempt
                .computeIfAbsent(run.attempt(), unused -> new ArrayList<>())
                .add(run));
        return byAttempt;
    }

    /** Returns what went wrong in the fake itself. */
    List<Throwable> failures() {
        return List.copyOf(failures);
    }

    private void start(final Runnable task, final String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler((failed, failure) -> failures.add(failure));
        threads.add(thread);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                start(() -> new Connection(socket).serve(), "stuttering-connection");
            }
        } catch (IOException exception) {
            // The listener was closed at the end of the test.
            return;
        }
    }

    /** Ends all connections and waits until their runs are recorded. */
    @Override
    public void close() throws IOException {
        listener.close();
        try {
            threads.get(0).join();
            for (Socket socket : sockets) {
                socket.close();
            }
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** One connection and what was written on it. Confined to its thread. */
    private final class Connection {

        private final Socket socket;
        private final StringBuilder transcript = new StringBuilder();
        private final List<TargetAnswer> written = new ArrayList<>();
        private Random random;
        private boolean disturbed;
        private boolean headOpen;
        private boolean stopped;

        Connection(final Socket socket) {
            this.socket = socket;
        }

        void serve() {
            try (socket) {
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                random = new Random(seed * SEED_FACTOR - sockets.size());
                random.nextLong();
                if (chance(0.06)) {
                    writeBetween("unknown");
                }
                Map<String, String> request = readRequest(reader);
                while (request != null) {
                    serve(request);
                    request = readRequest(reader);
                }
            } catch (IOException | InterruptedException exception) {
                // The peer or the end of the test closed the connection; all runs are recorded.
                return;
            }
        }

        private void serve(final Map<String, String> request) throws IOException, InterruptedException {
            int attempt = Integer.parseInt(request.getOrDefault(ATTEMPT_FIELD.toLowerCase(Locale.ROOT), "0"));
            String identity = request.getOrDefault("request-id", "");
            int repetition = runCounts.merge(attempt, 1, Integer::sum);
            random = new Random((seed * SEED_FACTOR + attempt) * SEED_FACTOR + repetition);
            random.nextLong();
            transcript
                    .append("\n<request ")
                    .append(attempt)
                    .append(" identity ")
                    .append(identity)
                    .append(">\n");
            TargetAnswer answer = drawAnswer("s-" + attempt + "." + repetition, identity);
            boolean whole = false;
            boolean bytesHeld = disturbed;
            boolean undisturbed = false;
            stopped = false;
            try {
                if (chance(0.1)) {
                    Thread.sleep(random.nextInt(LONGEST_PAUSE_MS));
                }
                for (int count = drawCount(); count > 0; count--) {
                    writeBetween(identity);
                }
                undisturbed = !disturbed && answer.isFlawless();
                Delivery delivery = drawDelivery(answer);
                whole = delivery == Delivery.WHOLE || delivery == Delivery.WHOLE_TWICE;
                Ending ending = drawEnding(answer, whole);
                whole &= answer.framing() != TargetAnswer.Framing.CONNECTION_END || ending == Ending.CLOSE;
                deliver(answer, delivery);
                if (whole) {
                    written.add(answer);
                }
                undisturbed &= whole && ending != Ending.RESET;
                boolean followed = answer.framing() != TargetAnswer.Framing.CONNECTION_END && !stopped;
                if (followed && whole && chance(1 - steadiness)) {
                    Thread.sleep(chance(0.6) ? 0 : random.nextInt(LONGEST_PAUSE_MS));
                    writeBetween(identity);
                }
                for (int count = followed && !whole ? random.nextInt(3) : 0; count > 0; count--) {
                    writeBetween(identity);
                }
                end(ending);
            } finally {
                runs.add(new Run(attempt, answer, whole, bytesHeld, undisturbed, transcript.toString()));
            }
        }

        private int drawCount() {
            return chance(steadiness) ? 0 : 1 + random.nextInt(2);
        }

        private boolean chance(final double probability) {
            return random.nextDouble() < probability;
        }

        private <T> T pick(final T[] values) {
            return values[random.nextInt(values.length)];
        }

        private Delivery drawDelivery(final TargetAnswer answer) {
            double draw = random.nextDouble();
            if (draw < 0.5 + steadiness / 2) {
                return Delivery.WHOLE;
            }
            if (answer.framing().isChunked() && chance(0.5)) {
                return Delivery.CUT_BETWEEN_CHUNKS;
            }
            Delivery delivery = pick(Delivery.values());
            boolean possible =
                    switch (delivery) {
                        case WHOLE_TWICE -> answer.framing() != TargetAnswer.Framing.CONNECTION_END;
                        case CUT_BETWEEN_CHUNKS -> answer.framing().isChunked();
                        default -> true;
                    };
            return possible ? delivery : Delivery.WHOLE;
        }

        private Ending drawEnding(final TargetAnswer answer, final boolean whole) {
            if (answer.framing() == TargetAnswer.Framing.CONNECTION_END) {
                return whole && chance(0.7) ? Ending.CLOSE : Ending.RESET;
            }
            double draw = random.nextDouble();
            double kept = whole ? 0.92 : 0.3;
            return draw < kept ? Ending.KEEP : draw < (1 + kept) / 2 ? Ending.CLOSE : Ending.RESET;
        }

        private TargetAnswer drawAnswer(final String runSignature, final String identity) {
            boolean refusal = chance(0.12);
            int status =
                    refusal ? REFUSALS[random.nextInt(REFUSALS.length)] : STATUSES[random.nextInt(STATUSES.length)];
            String signature = refusal ? "" : runSignature;
            TargetAnswer.Framing framing = TargetAnswer.Framing.LENGTH;
            if (status == 204 || status == 304) {
                framing = TargetAnswer.Framing.NO_BODY;
            } else if (chance(0.4)) {
                framing = chance(0.15)
                        ? TargetAnswer.Framing.CONNECTION_END
                        : chance(0.5) ? TargetAnswer.Framing.CHUNKED : TargetAnswer.Framing.CHUNKED_WITH_TRAILER;
            }
            TargetAnswer.Flaw flaw =
                    chance((1 - steadiness) / 4) ? pick(TargetAnswer.Flaw.values()) : TargetAnswer.Flaw.NONE;
            String connectionField =
                    chance(0.05) ? "Connection: close\r\n" : chance(0.2) ? "Keep-Alive: timeout=3\r\n" : "";
            return new TargetAnswer(status, identity, signature, framing, flaw, connectionField);
        }

        private void deliver(final TargetAnswer answer, final Delivery delivery)
                throws IOException, InterruptedException {
            String bytes = answer.bytes();
            switch (delivery) {
                case WHOLE -> write(withSafeBeginning(bytes));
                case WHOLE_TWICE ->
                    write(withSafeBeginning(bytes) + (answer.flaw() == TargetAnswer.Flaw.NONE ? bytes : ""));
                case CUT_IN_HEAD -> {
                    write(withSafeBeginning(bytes.substring(0, cutInHead(answer))));
                    headOpen = true;
                    disturbed = true;
                }
                case CUT_BETWEEN_CHUNKS -> {
                    List<Integer> cuts = answer.cutsBetweenChunks();
                    write(withSafeBeginning(bytes.substring(0, cuts.get(random.nextInt(cuts.size())))));
                    headOpen = true;
                    disturbed = true;
                }
                case CUT_AND_STOPPED -> {
                    write(withSafeBeginning(bytes.substring(0, random.nextInt(bytes.length()))));
                    stopped = true;
                }
                case NOTHING -> stopped = true;
                default -> throw new IllegalStateException(delivery.name());
            }
            if (delivery == Delivery.WHOLE || delivery == Delivery.WHOLE_TWICE) {
                headOpen = false;
                disturbed |= delivery == Delivery.WHOLE_TWICE;
            }
        }

        /** Returns a cut before the last line end of a head, and past its first bytes. */
        private int cutInHead(final TargetAnswer answer) {
            return 1 + random.nextInt(answer.head().length() - 2);
        }

        /** An empty line behind an open head would complete it. */
        private String withSafeBeginning(final String bytes) {
            return headOpen ? bytes.replaceFirst("^[\r\n]+", "") : bytes;
        }

        /** Writes bytes that are not the answer of the run that is due. */
        private void writeBetween(final String identity) throws IOException, InterruptedException {
            double draw = random.nextDouble();
            if (draw < 0.35 && !written.isEmpty()) {
                writeEarlier(identity);
            } else if (draw < 0.7) {
                TargetAnswer other = drawOther(identity);
                write(other.head().substring(0, cutInHead(other)));
                headOpen = true;
                disturbed = true;
            } else if (draw < 0.85) {
                write(chance(0.5) ? "HTTP/1.1 100 Continue\r\n\r\n" : "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
                disturbed |= headOpen;
                headOpen = false;
            } else {
                String bytes = pick(NO_ANSWERS);
                write(bytes + (chance(0.5) && !bytes.endsWith("\n") ? pick(LINE_ENDS) : ""));
                disturbed = true;
            }
        }

        private void writeEarlier(final String identity) throws IOException, InterruptedException {
            TargetAnswer earlier = written.get(random.nextInt(written.size()));
            String bytes = earlier.bytes();
            double draw = random.nextDouble();
            if (draw < 0.6 || headOpen) {
                write(withSafeBeginning(bytes));
                disturbed |= headOpen
                        || !earlier.isFlawless()
                        || earlier.identity().equals(identity)
                        || earlier.framing() == TargetAnswer.Framing.CONNECTION_END;
                return;
            }
            disturbed = true;
            if (draw < 0.8) {
                write(bytes.substring(random.nextInt(bytes.length())));
            } else {
                int length = 1 + random.nextInt(bytes.length() - 1);
                write(bytes.substring(0, length));
                headOpen = length < earlier.head().length();
            }
        }

        /** Draws an answer of which only a part of the head is written: it may even echo the identity that waits. */
        private TargetAnswer drawOther(final String identity) {
            TargetAnswer other = drawAnswer("s-other", chance(0.5) ? identity : "unknown");
            return new TargetAnswer(
                    other.status(),
                    other.identity(),
                    other.signature(),
                    other.framing(),
                    TargetAnswer.Flaw.NONE,
                    other.connectionField());
        }

        private void write(final String text) throws IOException, InterruptedException {
            transcript.append(escape(text)).append('|');
            byte[] bytes = TargetAnswer.encode(text);
            OutputStream output = socket.getOutputStream();
            int start = 0;
            while (start < bytes.length) {
                int end = chance(0.3) ? start + 1 + random.nextInt(bytes.length - start) : bytes.length;
                output.write(bytes, start, end - start);
                output.flush();
                start = end;
                if (start < bytes.length && chance(0.5)) {
                    Thread.sleep(random.nextInt(LONGEST_SPLIT_PAUSE_MS));
                }
            }
        }

        private void end(final Ending ending) throws IOException, InterruptedException {
            if (ending == Ending.RESET) {
                if (chance(0.5)) {
                    Thread.sleep(RESET_DELAY_MS);
                }
                socket.setSoLinger(true, 0);
            }
            if (ending != Ending.KEEP) {
                transcript.append('<').append(ending).append('>');
                socket.close();
                throw new SocketException("the script ends the connection");
            }
        }

        private Map<String, String> readRequest(final BufferedReader reader) throws IOException {
            String line = reader.readLine();
            if (line == null) {
                return null;
            }
            Map<String, String> fields = new HashMap<>();
            line = reader.readLine();
            while (line != null && !line.isEmpty()) {
                int colon = line.indexOf(':');
                fields.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
                line = reader.readLine();
            }
            int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
            for (int index = 0; index < length; index++) {
                if (reader.read() < 0) {
                    return null;
                }
            }
            return line == null ? null : fields;
        }
    }

    static String escape(final String text) {
        return text.replace("\r", "\\r").replace("\n", "\\n").replace("\0", "\\0");
    }
}
