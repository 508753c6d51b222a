package org.sequoiashunt.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiashunt.memory.LoopbackAddresses;

final class NodeMainTest {

    private static final int TEST_TIMEOUT_S = 60;

    @TempDir
    private Path directory;

    @Test
    @Timeout(TEST_TIMEOUT_S)
    void testTerminationDrainsAndEndsWithExitCodeZero() throws Exception {
        Process node = startNode();
        try {
            assertTrue(awaitLine(node.inputReader(), "node started"), "the node did not start");
            node.toHandle().destroy();
            assertTrue(awaitLine(node.inputReader(), "drained node"), "the node did not drain");
            assertEquals(0, node.waitFor());
        } finally {
            node.destroyForcibly().waitFor(TEST_TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    private Process startNode() throws IOException {
        Path settings = Files.writeString(directory.resolve("node.yaml"), """
                node: registry-desk-1
                failureDomain: ha-noi-a
                region: bac-bo
                callers: %s
                link: %s
                admin: %s
                store: %s
                """.formatted(
                        LoopbackAddresses.next(),
                        LoopbackAddresses.next(),
                        LoopbackAddresses.next(),
                        LoopbackAddresses.next()));
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        return new ProcessBuilder(
                        java.toString(),
                        "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                        "-cp",
                        System.getProperty("java.class.path"),
                        NodeMain.class.getName(),
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .start();
    }

    private static boolean awaitLine(final BufferedReader output, final String text) throws IOException {
        String line = output.readLine();
        while (line != null && !line.contains(text)) {
            line = output.readLine();
        }
        return line != null;
    }
}
