package org.sequoiashunt.link;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * Event loops and buffer allocator of the links of a node: one loop for accepted connections and one for
 * opened connections, or a single loop for all after {@link #startSingle()}.
 *
 * <p>Close it after the server and the client that use it. Thread-safe.
 */
public final class LinkThreads implements AutoCloseable {

    private static final int DEFAULT_THREADS = 2;
    private static final int PAGE_BYTES = 8_192;
    private static final int CHUNK_ORDER = 5; // Chunks of 256 KB: the buffers of an idle node use less than 1 MB.
    private static final int CACHED_BUFFERS_PER_SIZE = 32; // Buffers of each size that a thread caches.
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    private final EventLoopGroup group;
    private final EventLoop serverLoop;
    private final EventLoop clientLoop;
    private final ByteBufAllocator allocator;

    private LinkThreads(final EventLoopGroup group) {
        this.group = group;
        this.serverLoop = group.next();
        this.clientLoop = group.next();
        this.allocator = new PooledByteBufAllocator(
                true,
                0,
                DEFAULT_THREADS,
                PAGE_BYTES,
                CHUNK_ORDER,
                CACHED_BUFFERS_PER_SIZE,
                CACHED_BUFFERS_PER_SIZE,
                false);
    }

    /**
     * Starts the threads.
     *
     * @return the threads, never null.
     */
    public static LinkThreads start() {
        return start(DEFAULT_THREADS);
    }

    /**
     * Starts one thread for accepted and opened connections. On a VM with less than one core, passing calls between
     * threads costs more than a second thread gains.
     *
     * @return the threads, never null.
     */
    public static LinkThreads startSingle() {
        return start(1);
    }

    private static LinkThreads start(final int threads) {
        DefaultThreadFactory factory = new DefaultThreadFactory("link", true);
        return new LinkThreads(new MultiThreadIoEventLoopGroup(threads, factory, NioIoHandler.newFactory()));
    }

    /**
     * Returns the event loop that receives the calls of other nodes, so that connections for serving them can share it.
     *
     * @return the event loop, never null; it is shut down by {@link #close()}.
     */
    public EventLoop callLoop() {
        return serverLoop;
    }

    EventLoop serverLoop() {
        return serverLoop;
    }

    EventLoop clientLoop() {
        return clientLoop;
    }

    ByteBufAllocator allocator() {
        return allocator;
    }

    /** Stops the threads and waits at most two seconds for their end. */
    @Override
    public void close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
