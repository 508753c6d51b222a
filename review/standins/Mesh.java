package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts nodes with the command and the settings template of the deploy file, on loopback addresses. */
final class Mesh implements AutoCloseable {

    /** One VM: its settings, and its node's process while it runs. */
    static final class Node {
        final String name;
        final String ip;
        final String service;
        final InetSocketAddress outbound;
        final InetSocketAddress control;
        final InetSocketAddress readiness;
        final InetSocketAddress app;
        private final Path settings;
        private Process process;
        private int starts;

        private Node(final String name, final String ip, final String service, final Path folder) throws IOException {
            this.name = name;
            this.ip = ip;
            this.service = service;
            this.outbound = free(ip);
            this.control = free(ip);
            this.readiness = free(ip);
            this.app = free(ip);
            this.settings = folder.resolve(name + ".yaml");
        }

        long pid() {
            return process.pid();
        }

        boolean alive() {
            return process.isAlive();
        }
    }

    private final Path root;
    private final Path folder;
    private final Record record;
    private final String store;
    private final List<String> command = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();

    Mesh(final Path root, final Record record, final String store) throws IOException {
        this.root = root;
        this.record = record;
        this.store = store;
        this.folder = Files.createTempDirectory("review");
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            Matcher matcher = Pattern.compile("run = \"(.*)\"").matcher(line);
            if (matcher.matches()) {
                command.addAll(List.of(matcher.group(1).split(" +")));
            }
        }
        if (!Files.exists(root.resolve("target/sequoiashunt-mesh.jar"))) {
            throw new IOException("target/sequoiashunt-mesh.jar is missing: build it with the deploy file");
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static InetSocketAddress free(final String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return new InetSocketAddress(ip, socket.getLocalPort());
        }
    }

    /** Adds a VM and writes its settings; {@link #start} starts its node. */
    Node add(final String name, final String ip, final String zone, final String region, final String service)
            throws IOException {
        return add(name, ip, zone, region, service, "0.6", "1");
    }

    Node add(
            final String name,
            final String ip,
            final String zone,
            final String region,
            final String service,
            final String cpuShare,
            final String cpuCores)
            throws IOException {
        Node node = new Node(name, ip, service, folder);
        Map<String, String> fields = new HashMap<>();
        fields.put("NodeName", name);
        fields.put("Ip", ip);
        fields.put("Zone", zone);
        fields.put("Region", region);
        fields.put("Service", service);
        fields.put("InternalPorts.0", String.valueOf(free(ip).getPort()));
        fields.put("InternalPorts.1", String.valueOf(free(ip).getPort()));
        fields.put("Limits.CpuShare", cpuShare);
        fields.put("Limits.CpuCores", cpuCores);
        fields.put("BindAddrs.Outbound", text(node.outbound));
        fields.put("BindAddrs.Control", text(node.control));
        fields.put("BindAddrs.Readiness", text(node.readiness));
        fields.put("Platform.Address", store);
        fields.put("HeartbeatMs", String.valueOf(Backend.HEARTBEAT_MS));
        fields.put("Bounds.GraceS", "6");
        fields.put("Bounds.RetryBudgetRatio", "0.2");
        fields.put("Bounds.RetrySlack", "56");
        fields.put("Bounds.BudgetWindowS", "10");
        Matcher matcher = Pattern.compile("\\{\\{([A-Za-z.0-9]+)(\\|json)?}}")
                .matcher(Files.readString(root.resolve("platform/settings.yaml")));
        StringBuilder filled = new StringBuilder();
        while (matcher.find()) {
            String value = fields.get(matcher.group(1));
            if (value == null) {
                throw new IOException("the settings template names " + matcher.group(1));
            }
            matcher.appendReplacement(
                    filled, Matcher.quoteReplacement(matcher.group(2) == null ? value : Json.write(value)));
        }
        matcher.appendTail(filled);
        Files.writeString(node.settings, filled);
        nodes.add(node);
        return node;
    }

    private static String text(final InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    void start(final Node node) throws IOException {
        node.starts++;
        File log = folder.resolve(node.name + "." + node.starts + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log);
        builder.environment().put("SEQUOIASHUNT_SETTINGS", node.settings.toString());
        node.process = builder.start();
        record.add("start node=" + node.name + " pid=" + node.process.pid());
    }

    /** Sends a signal, such as KILL, TERM, STOP or CONT, to a process that this object started. */
    void signal(final Node node, final String signal) throws IOException {
        record.add("signal " + signal + " node=" + node.name);
        try {
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + node.process.pid())
                    .start()
                    .waitFor();
        } catch (InterruptedException exception) {
            throw new IOException(exception);
        }
    }

    /** Waits until a node's process has ended. */
    void awaitEnd(final Node node) {
        try {
            node.process.waitFor();
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
        record.add("end node=" + node.name + " code=" + node.process.exitValue());
    }

    /** Returns whether a node says that it is ready. */
    boolean ready(final Node node) {
        try {
            return Http.call(node.readiness, "GET", "/-/readyz", Map.of("Host", "ready"), new byte[0], 1_000)
                            .status()
                    == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    void awaitReady(final Node node, final int timeoutMs) throws IOException {
        long endNs = System.nanoTime() + timeoutMs * 1_000_000L;
        while (!ready(node)) {
            if (System.nanoTime() > endNs) {
                throw new IOException(node.name + " is not ready after " + timeoutMs + " ms");
            }
            Backend.sleep(50);
        }
        record.add("ready node=" + node.name);
    }

    /** Copies the lines of all nodes' logs that contain a text into the record. */
    void copyLog(final String text) throws IOException {
        try (Stream<Path> logs = Files.list(folder)) {
            for (Path log : logs.filter(file -> file.toString().endsWith(".log"))
                    .sorted()
                    .toList()) {
                for (String line : Files.readAllLines(log)) {
                    if (line.contains(text)) {
                        record.add("log " + log.getFileName() + " " + line);
                    }
                }
            }
        }
    }

    /** Kills all processes that this object started and removes its folder. */
    @Override
    public void close() {
        for (Node node : nodes) {
            if (node.process != null && node.process.isAlive()) {
                node.process.destroyForcibly();
                try {
                    node.process.waitFor();
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException | java.io.UncheckedIOException exception) {
            // The folder was removed before.
        }
    }
}
