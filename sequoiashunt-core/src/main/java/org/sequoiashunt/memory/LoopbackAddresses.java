package org.sequoiashunt.memory;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Assigns addresses on the loopback interface to servers that must know their port before they bind it, for tests,
 * trials and the training run of the class archive.
 *
 * <p>A port that was found free by binding and closing it can be taken before it is bound again, by an outgoing
 * connection or another process. The addresses of this class are neither: each process has a host of its own, no port
 * is assigned twice, and all ports are below those that systems assign to outgoing connections.
 *
 * <p>Not instantiable; thread-safe.
 */
public final class LoopbackAddresses {

    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 20_000;

    /** Values of each of the two address bytes that depend on the process. */
    private static final int BYTE_VALUES = 250;

    private static final String HOST = hostOf(ProcessHandle.current().pid());
    private static final int PORTS_PER_PROCESS = 97;
    private static final AtomicInteger ASSIGNED =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORT_COUNT));

    private LoopbackAddresses() {}

    private static String hostOf(final long processId) {
        long high = 1 + processId / BYTE_VALUES % BYTE_VALUES;
        long low = 1 + processId % BYTE_VALUES;
        return "127." + high + "." + low + ".1";
    }

    /**
     * Returns the loopback host of this process.
     *
     * @return the address of the host in text form, never null.
     */
    public static String host() {
        return HOST;
    }

    /**
     * Assigns an address on the host of this process.
     *
     * @return an address that was not assigned before in this process, never null.
     */
    public static NodeAddress next() {
        return next(HOST);
    }

    /**
     * Assigns an address on another host.
     *
     * @param host the loopback address of the host, not null. The ports start at a number that depends on the process,
     *     so that processes that share a host seldom choose the same.
     * @return an address that was not assigned before in this process, never null.
     */
    public static NodeAddress next(final String host) {
        Objects.requireNonNull(host, "host");
        return new NodeAddress(host, FIRST_PORT + ASSIGNED.getAndIncrement() % PORT_COUNT);
    }
}
