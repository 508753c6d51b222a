package org.sequoiashunt.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.memory.LoopbackAddresses;
import org.sequoiashunt.peer.NodeAddress;

@Timeout(60)
class HttpListenerTest {

    private static final long LONG_LINGER_MS = 60_000;
    private static final long SHORT_LINGER_MS = 100;

    private final NodeAddress address = LoopbackAddresses.next();
    private final InetSocketAddress socketAddress = new InetSocketAddress(address.host(), address.port());

    /** Guards against requests that are reset because their connection was accepted just before a stop. */
    @Test
    void requestOnAConnectionAcceptedBeforeTheStopIsAnswered() throws Exception {
        String answer = StoppedConnections.requestAfterStop(socketAddress, open(LONG_LINGER_MS));
        assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("\r\nanswer"), answer);
        assertTrue(answer.contains("Connection: close\r\n"), answer);
    }

    @Test
    void idleConnectionIsClosedAtTheEndOfTheLingerTime() throws Exception {
        StoppedConnections.stopWithIdleConnection(socketAddress, open(SHORT_LINGER_MS));
    }

    private HttpListener open(final long lingerMs) throws Exception {
        return HttpListener.open(
                "test", address, exchange -> exchange.getResponseSender().send("answer"), lingerMs);
    }
}
