package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.time.SteppedClock;

@Timeout(10)
class DecisionLogTest {

    private final SteppedClock clock = SteppedClock.of(5_000);

    @Test
    void logWritesOneJsonObjectPerLineWithinBudget() throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DecisionLog log = DecisionLog.start("n-1", clock, new PrintStream(bytes, true, StandardCharsets.UTF_8));
        for (int line = 0; line < 30; line++) {
            log.log(LogKind.MOVE, "service", "a \"b\"\n", "share", 5, "done", true);
        }
        clock.advance(1_000);
        log.log(LogKind.MOVE, "service", "last");
        log.close();
        String[] lines = bytes.toString(StandardCharsets.UTF_8).split("\n");
        assertEquals(11, lines.length, "10 lines in the first second and 1 in the next");
        JsonNode first = new ObjectMapper().readTree(lines[0]);
        assertEquals("a \"b\"\n", first.get("service").asText());
        assertEquals(5, first.get("share").asInt());
        assertEquals("move", first.get("event").asText());
        assertEquals(20, new ObjectMapper().readTree(lines[10]).get("leftOut").asInt());
    }

    @Test
    void logDoesNotBlockWhenOutputBlocks() throws Exception {
        CountDownLatch readable = new CountDownLatch(1);
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(final int value) {
                try {
                    readable.await();
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        DecisionLog log = DecisionLog.start("n-1", clock, new PrintStream(blocked));
        long startedNanos = System.nanoTime();
        for (int second = 0; second < 500; second++) {
            for (int line = 0; line < 10; line++) {
                log.log(LogKind.MOVE, "number", line);
            }
            clock.advance(1_000);
        }
        assertTrue(System.nanoTime() - startedNanos < 5_000_000_000L);
        readable.countDown();
        log.close();
    }
}
