import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.InetSocketAddress;
import java.io.BufferedInputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A node process of the project, started with the command of the deploy file and the settings of a small deployment.
 *
 * <p>Not thread-safe.
 */
final class Node implements AutoCloseable {

    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z0-9.]+)(\\|json)?}}");

    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static int nextPort = FIRST_PORT + new Random().nextInt(15_000);

    private final Record record;
    private final String name;
    private final Map<String, Object> fields = new LinkedHashMap<>();
    private final Path settings;
    private final Path output;
    private Process process;

    Node(
            final Record record,
            final Path folder,
            final String name,
            final String zone,
            final String region,
            final String service,
            final String store,
            final Map<String, Object> terms)
            throws IOException {
        this.record = record;
        this.name = name;
        this.settings = folder.resolve(name + ".yaml");
        this.output = folder.resolve(name + ".log");
        int[] ports = freePorts(5);
        fields.put("NodeName", name);
        fields.put("Ip", "127.0.0.1");
        fields.put("InternalPorts.0", ports[0]);
        fields.put("InternalPorts.1", ports[1]);
        fields.put("Zone", zone);
        fields.put("Region", region);
        fields.put("Limits.CpuShare", 0.6);
        fields.put("Limits.CpuCores", 1);
        fields.put("Limits.LinkMbps", 1000.0);
        fields.put("Service", service);
        fields.put("BindAddrs.Outbound", "127.0.0.1:" + ports[2]);
        fields.put("BindAddrs.Control", "127.0.0.1:" + ports[3]);
        fields.put("BindAddrs.Readiness", "127.0.0.1:" + ports[4]);
        fields.put("Platform.Address", store);
        fields.putAll(terms);
        writeSettings(settings);
    }

    /** Finds free ports below the range from which the system takes those of outgoing connections. */
    private static int[] freePorts(final int count) throws IOException {
        int[] ports = new int[count];
        for (int index = 0; index < count; index++) {
            ports[index] = freePort();
        }
        return ports;
    }

    private static int freePort() throws IOException {
        while (nextPort < LAST_PORT) {
            nextPort++;
            try (ServerSocket socket = new ServerSocket(nextPort, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException exception) {
                // The port is taken; the next one is tried.
                continue;
            }
        }
        throw new IOException("no free port");
    }

    private void writeSettings(final Path file) throws IOException {
        Matcher matcher = PLACEHOLDER.matcher(Files.readString(Path.of("platform", "settings.yaml")));
        StringBuilder text = new StringBuilder();
        while (matcher.find()) {
            Object value = fields.get(matcher.group(1));
            String written = value == null ? "" : matcher.group(2) == null ? value.toString() : Json.write(value);
            matcher.appendReplacement(text, Matcher.quoteReplacement(written));
        }
        matcher.appendTail(text);
        Files.writeString(file, text);
    }

    /** Replaces the settings file by one with another service, in one step and without a signal. */
    void changeService(final String service) throws IOException {
        fields.put("Service", service);
        Path latest = settings.resolveSibling(name + ".new");
        Path current = settings;
        writeSettings(latest);
        Files.move(latest, current, StandardCopyOption.ATOMIC_MOVE);
        record.log("the settings file of %s now names the service %s", name, service);
    }

    String name() {
        return name;
    }

    String outbound() {
        return (String) fields.get("BindAddrs.Outbound");
    }

    String control() {
        return (String) fields.get("BindAddrs.Control");
    }

    void start() throws IOException {
        Matcher line = RUN_LINE.matcher(Files.readString(Path.of("deploy", "system.toml")));
        if (!line.find()) {
            throw new IOException("no run line in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder(line.group(1).split(" "));
        builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        builder.environment().put("SEQUOIASHUNT_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        process = builder.start();
        record.log("start %s, process %d", name, process.pid());
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    void signal(final String signal) throws IOException, InterruptedException {
        record.log("signal %s to %s", signal, name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits until the process has ended and returns its code, -1 if it has not. */
    int awaitEnd(final long waitMs) throws InterruptedException {
        return process.waitFor(waitMs, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    boolean isReady() {
        String[] parts = ((String) fields.get("BindAddrs.Readiness")).split(":");
        try (Socket caller = new Socket()) {
            caller.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 500);
            caller.setSoTimeout(500);
            caller.getOutputStream()
                    .write("GET /-/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
            Http answer = Http.read(new BufferedInputStream(caller.getInputStream()), true);
            return answer != null && answer.status() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
