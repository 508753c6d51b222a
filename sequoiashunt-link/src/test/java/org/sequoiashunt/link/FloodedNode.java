package org.sequoiashunt.link;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallHandler;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Link server in a process with the memory settings of a node. It answers a call to {@code /N} with a body of N bytes
 * and leaves a call to {@code /wait} running.
 */
final class FloodedNode implements Closeable {

    static final LinkLimits LIMITS =
            LinkLimits.standard().withMaximumBodyBytes(4 << 20).withPingTimes(700, 1_500);

    private static final Path NODE_SETTINGS = Path.of("..", "deploy", "system.toml");
    private static final List<String> MEMORY_OPTIONS =
            List.of("-Xms", "-Xmx", "-Xss", "-XX:+UseSerialGC", "-XX:MaxDirectMemorySize");

    private final Process process;
    private final NodeAddress address;

    private FloodedNode(final Process process, final NodeAddress address) {
        this.process = process;
        this.address = address;
    }

    static FloodedNode start() throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(memoryOptions());
        command.add("-XX:+ExitOnOutOfMemoryError"); // An exhausted heap must fail the test whichever thread meets it.
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), FloodedNode.class.getName()));
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        BufferedReader output =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        return new FloodedNode(process, new NodeAddress("127.0.0.1", Integer.parseInt(output.readLine())));
    }

    NodeAddress address() {
        return address;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    /** Runs until the standard input is closed, at the latest when the test process ends. */
    public static void main(final String[] arguments) throws IOException {
        LinkThreads threads = LinkThreads.startSingle();
        LinkContext context = new LinkContext(
                threads,
                new LinkIdentity("gate", 1),
                LIMITS,
                LinkFixture.CLOCK,
                MessageCodec.of(List.of(new TextMessage.Codec())),
                new LinkCounters());
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        LinkServer server = LinkServer.open(context, any, handler(), (sender, message) -> {});
        System.out.println(server.address().port());
        System.out.flush();
        System.in.readAllBytes();
        server.close();
        threads.close();
    }

    private static CallHandler handler() {
        byte[] largest = new byte[4 << 20];
        return new CallHandler() {
            @Override
            public CompletableFuture<CallResult> handle(final CallRequest request) {
                if (request.uri().equals("/wait")) {
                    return new CompletableFuture<CallResult>()
                            .completeOnTimeout(
                                    LinkFixture.answer(Body.EMPTY),
                                    request.deadlineMs() - LinkFixture.CLOCK.nowMs(),
                                    TimeUnit.MILLISECONDS);
                }
                int length = Integer.parseInt(request.uri().substring(1));
                byte[] body = length == largest.length ? largest : Arrays.copyOf(largest, length);
                return CompletableFuture.completedFuture(LinkFixture.answer(Body.of(body)));
            }
        };
    }

    private static List<String> memoryOptions() throws IOException {
        String run = Files.readAllLines(NODE_SETTINGS).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        return Arrays.stream(run.split("[ \"]"))
                .filter(word -> MEMORY_OPTIONS.stream().anyMatch(word::startsWith))
                .toList();
    }
}
