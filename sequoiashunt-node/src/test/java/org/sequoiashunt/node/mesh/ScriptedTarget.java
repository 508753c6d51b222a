package org.sequoiashunt.node.mesh;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Fake target that answers each request with the bytes of the next step of a script.
 *
 * <p>In a step, {@code $ID} is replaced by the identity of the request. A final word RESET, FIN or SILENT is not sent;
 * after the other bytes, it resets the connection, closes it, or stops answering on it. The bytes after the word
 * ENDLESS are sent again and again until the peer closes the connection.
 */
final class ScriptedTarget implements Closeable {

    private static final int REPETITIONS_PER_WRITE = 50;

    private final ServerSocket listener;
    private final BlockingQueue<String> script = new LinkedBlockingQueue<>();
    private final Map<String, String> fixedAnswers = new ConcurrentHashMap<>();
    private final Map<String, Integer> ports = new ConcurrentHashMap<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final AtomicReference<String> bytesBeforeNextStep = new AtomicReference<>("");
    private final AtomicLong endlessBytes = new AtomicLong();
    private final AtomicInteger endlessStreams = new AtomicInteger();

    ScriptedTarget(final String... steps) throws IOException {
        listener = new ServerSocket(0, 20, InetAddress.getByName("127.0.0.1"));
        script.addAll(List.of(steps));
        Thread thread = new Thread(this::accept, "scripted-target");
        thread.setDaemon(true);
        thread.start();
    }

    NodeAddress address() {
        return new NodeAddress("127.0.0.1", listener.getLocalPort());
    }

    List<String> requests() {
        return requests;
    }

    /** Adds a step to the script; requests wait for their step. */
    void add(final String step) {
        script.add(step);
    }

    /** Answers all requests of an identity with the same bytes; they take no step and are not recorded. */
    void answerAlways(final String id, final String answer) {
        fixedAnswers.put(id, answer.replace("$ID", id));
    }

    /** Returns the number of bytes that were sent in endless answers. */
    long endlessBytes() {
        return endlessBytes.get();
    }

    /** Returns the number of endless answers that the peer has not stopped yet. */
    int endlessStreams() {
        return endlessStreams.get();
    }

    /** Writes bytes on the first connection at the moment at which the next request arrives on any connection. */
    void writeBeforeNextStep(final String bytes) {
        bytesBeforeNextStep.set(bytes);
    }

    /** Returns the peer's port of the connection on which the latest request of an identity came. */
    int portOf(final String id) {
        return ports.get(id);
    }

    int connectionCount() {
        return connections.size();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                Thread thread = new Thread(() -> serve(socket), "scripted-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException exception) {
            // The listener was closed at the end of the test.
            return;
        }
    }

    private void serve(final Socket socket) {
        try {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream output = socket.getOutputStream();
            String request = readRequest(reader);
            while (request != null) {
                ports.put(idOf(request), socket.getPort());
                String fixedAnswer = fixedAnswers.get(idOf(request));
                if (fixedAnswer != null) {
                    output.write(fixedAnswer.getBytes(StandardCharsets.ISO_8859_1));
                } else {
                    requests.add(request);
                    if (!runStep(request, socket, output)) {
                        return;
                    }
                }
                request = readRequest(reader);
            }
        } catch (IOException | InterruptedException exception) {
            // The peer closed the connection; no further steps run on it.
            return;
        }
    }

    private boolean runStep(final String request, final Socket socket, final OutputStream output)
            throws IOException, InterruptedException {
        String step = script.take().replace("$ID", idOf(request));
        String bytesBefore = bytesBeforeNextStep.getAndSet("");
        if (!bytesBefore.isEmpty()) {
            connections.get(0).getOutputStream().write(bytesBefore.getBytes(StandardCharsets.ISO_8859_1));
        }
        int endless = step.indexOf("ENDLESS");
        if (endless >= 0) {
            output.write(step.substring(0, endless).getBytes(StandardCharsets.ISO_8859_1));
            sendUntilClosed(step.substring(endless + "ENDLESS".length()).repeat(REPETITIONS_PER_WRITE), output);
            return false;
        }
        boolean reset = step.endsWith("RESET");
        boolean closeAfterStep = step.endsWith("FIN");
        boolean silent = step.endsWith("SILENT");
        String bytes = step.replaceAll("(RESET|FIN|SILENT)$", "");
        output.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
        if (reset) {
            Thread.sleep(60);
            socket.setSoLinger(true, 0);
        }
        if (reset || closeAfterStep) {
            socket.close();
        }
        return !reset && !closeAfterStep && !silent;
    }

    private void sendUntilClosed(final String text, final OutputStream output) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        endlessStreams.incrementAndGet();
        try {
            while (true) {
                output.write(bytes);
                endlessBytes.addAndGet(bytes.length);
            }
        } finally {
            endlessStreams.decrementAndGet();
        }
    }

    private static String idOf(final String request) {
        for (String line : request.split("\n")) {
            if (line.startsWith("Request-Id: ")) {
                return line.substring("Request-Id: ".length());
            }
        }
        return "none";
    }

    private static String readRequest(final BufferedReader reader) throws IOException {
        StringBuilder head = new StringBuilder();
        int length = 0;
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            head.append(line).append('\n');
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length: ")) {
                length = Integer.parseInt(line.substring("content-length: ".length()));
            }
            line = reader.readLine();
        }
        if (line == null) {
            return null;
        }
        head.append('\n');
        for (int index = 0; index < length; index++) {
            head.append((char) reader.read());
        }
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
