package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.memory.LoopbackAddresses;
import org.sequoiashunt.node.StoppedConnections;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;

@Timeout(60)
class MeshListenersTest {

    private static final long LONG_LINGER_MS = 60_000;
    private static final long SHORT_LINGER_MS = 100;
    private static final int MAXIMUM_HEADER_BYTES = 4_096;

    private final Clock clock = SystemClock.start();
    private final DecisionLog log = DecisionLog.start("n", clock, System.out);
    private final NodeAddress address = LoopbackAddresses.next();
    private final InetSocketAddress socketAddress = new InetSocketAddress(address.host(), address.port());

    @AfterEach
    void close() throws InterruptedException {
        log.close();
    }

    /** Guards against requests that are reset because their connection was accepted just before a planned stop. */
    @Test
    void requestOnAConnectionAcceptedBeforeTheStopIsAnswered() throws Exception {
        String answer = StoppedConnections.requestAfterStop(socketAddress, open(LONG_LINGER_MS, false));
        assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("\r\nanswer"), answer);
    }

    @Test
    void idleConnectionIsClosedAtTheEndOfTheLingerTime() throws Exception {
        StoppedConnections.stopWithIdleConnection(socketAddress, open(SHORT_LINGER_MS, true));
    }

    private MeshListeners open(final long lingerMs, final boolean persistent) throws Exception {
        InboundConnections.Dependencies dependencies = new InboundConnections.Dependencies(
                "callers",
                exchange ->
                        exchange.setPersistent(persistent).getResponseSender().send("answer"),
                new InputLimits(10, 1 << 20, 1 << 20),
                () -> MAXIMUM_HEADER_BYTES,
                clock,
                new MeshMetrics(),
                log);
        return MeshListeners.open(Map.of(socketAddress, dependencies), () -> lingerMs);
    }
}
