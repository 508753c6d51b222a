package org.sequoiashunt.node.mesh;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Input of one connection. Counts what each request holds in memory and ends the connection when a limit is reached.
 *
 * <p>Confined to the I/O thread, except for the held memory, which the monitor of {@link InboundConnections} guards.
 * Invariant: an answer is written here only while no other answer is under way on the connection.
 */
final class InboundConnection extends AbstractStreamSourceConduit<StreamSourceConduit> {

    /** Memory for each byte of a head: the buffer that holds or parses it, which doubles, and the string. */
    private static final long HEAD_BYTE_COST = 3;

    /** Memory for the objects of each header field or query parameter. */
    private static final long FIELD_COST_BYTES = 256;

    /** Length of the shortest header field with its line end. */
    private static final long MINIMUM_FIELD_BYTES = 5;

    /** Largest number of bytes in a row that belong to a body's framing or trailers. */
    private static final long MAXIMUM_FRAMING_BYTES = 16_384;

    /** Framing bytes of a body that are not charged. */
    private static final long FREE_FRAMING_BYTES = 8_192;

    /** Largest part of a body that is read and discarded after the answer. */
    private static final long MAXIMUM_UNREAD_BYTES = 65_536;

    /** Longest time for which the rest of a body is discarded after the answer. */
    private static final long DISCARD_TIMEOUT_MS = 1_000;

    private final StreamConnection channel;
    private final StreamSinkConduit sink;
    private final InboundConnections connections;
    private final long[] heldBytes = new long[InputPart.values().length];
    private final HeadBuffer head = new HeadBuffer();
    private Phase phase = Phase.HEAD;
    private Consumer<InputRefusal> bodyRefusal;
    private long phaseBytes;
    private boolean served;
    private long waitingSinceMs;
    private XnioExecutor.Key discardTimeout;
    /** Whether a part of an incomplete head has been passed on, so that the next read returns nothing. */
    private boolean passedOnInTurn;

    /** What the next bytes of the connection belong to. */
    private enum Phase {
        HEAD,
        BODY,
        /** The body is not wanted, because the handler does not read it or has refused it. */
        UNREAD_BODY,
        COMPLETE,
        REFUSED
    }

    InboundConnection(final StreamConnection channel, final InboundConnections connections) {
        super(channel.getSourceChannel().getConduit());
        this.channel = channel;
        this.sink = channel.getSinkChannel().getConduit();
        this.connections = connections;
        this.waitingSinceMs = connections.nowMs();
    }

    /** Returns the connection on which a request has arrived. */
    static InboundConnection of(final HttpServerExchange exchange) {
        return (InboundConnection) ((HttpServerConnection) exchange.getConnection()).getOriginalSourceConduit();
    }

    StreamConnection channel() {
        return channel;
    }

    String peer() {
        return String.valueOf(channel.getPeerAddress(SocketAddress.class));
    }

    /** Returns the memory that the current request holds, in bytes. */
    long heldBytes(final InputPart part) {
        return heldBytes[part.ordinal()];
    }

    /** Adds to the memory that the current request holds; called with the monitor of all connections. */
    void hold(final InputPart part, final long bytes) {
        heldBytes[part.ordinal()] += bytes;
    }

    boolean awaitsRequest() {
        return phase == Phase.HEAD;
    }

    /** Returns whether the current request is incomplete, so that it can be refused. */
    boolean isIncomplete() {
        return phase == Phase.HEAD || phase == Phase.BODY;
    }

    /** Returns whether this connection is closed before the other one if there are too many. */
    boolean isRefusedBefore(final InboundConnection other) {
        return served == other.served ? waitingSinceMs < other.waitingSinceMs : !served;
    }

    /** Starts a request whose head is complete. Its body is discarded unless {@link #beginBody} is called. */
    void beginExchange(final HttpServerExchange exchange) {
        if (exchange.isRequestComplete()) {
            phase = Phase.COMPLETE;
        } else {
            discardBody(exchange);
        }
        exchange.addExchangeCompleteListener((completed, nextListener) -> {
            endExchange();
            nextListener.proceed();
        });
    }

    private void endExchange() {
        connections.release(this, InputPart.HEAD);
        connections.release(this, InputPart.BODY);
        bodyRefusal = null;
        served = true;
        waitingSinceMs = connections.nowMs();
        enter(Phase.HEAD);
    }

    private void enter(final Phase nextPhase) {
        if (discardTimeout != null) {
            discardTimeout.remove();
            discardTimeout = null;
        }
        phase = nextPhase;
        phaseBytes = 0;
    }

    /**
     * Starts to receive the body of the current request.
     *
     * @param refusal refuses the request if its memory is needed for others, not null.
     */
    void beginBody(final Consumer<InputRefusal> refusal) {
        enter(Phase.BODY);
        bodyRefusal = refusal;
    }

    /** Reserves memory for a part of the body and returns false if the request must be refused. */
    boolean reserveBody(final long bytes) {
        return connections.reserve(this, InputPart.BODY, bytes);
    }

    /** Records that bytes of the body have arrived. */
    void recordBodyProgress() {
        phaseBytes = 0;
    }

    /** Ends the body, which has arrived completely. */
    void completeBody() {
        bodyRefusal = null;
        enter(Phase.COMPLETE);
    }

    /** Discards the rest of the body, within limits. */
    void discardBody(final HttpServerExchange exchange) {
        connections.release(this, InputPart.BODY);
        bodyRefusal = null;
        enter(Phase.UNREAD_BODY);
        discardTimeout = exchange.getIoThread()
                .executeAfter(() -> refuse(InputRefusal.UNREAD_BODY), DISCARD_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Logs and counts a refusal. */
    void recordRefusal(final InputRefusal refusal) {
        connections.recordRefusal(this, refusal);
    }

    /** Refuses the current request, if it has begun, and closes the connection as soon as the answer is written. */
    void refuse(final InputRefusal refusal) {
        if (phase == Phase.BODY) {
            bodyRefusal.accept(refusal);
            return;
        }
        if (phase == Phase.REFUSED) {
            return;
        }
        recordRefusal(refusal);
        boolean answerDue = phase == Phase.HEAD && (phaseBytes > 0 || !served);
        enter(Phase.REFUSED);
        head.clear();
        if (answerDue) {
            writeAnswer(refusal);
        }
        IoUtils.safeClose(channel);
    }

    private void writeAnswer(final InputRefusal refusal) {
        try {
            sink.write(ByteBuffer.wrap(refusal.answer().getBytes(StandardCharsets.ISO_8859_1)));
        } catch (IOException exception) {
            // The caller has gone; the refusal is logged and the connection is closed next.
            return;
        }
    }

    /**
     * Reads from the connection at most once. Bytes of an incomplete head are held, and 0 is returned, so that other
     * connections get their turn before this one is read again.
     */
    @Override
    public int read(final ByteBuffer buffer) throws IOException {
        if (phase != Phase.HEAD) {
            head.release();
            passedOnInTurn = false;
        }
        if (head.isReady()) {
            return head.moveTo(buffer);
        }
        if (passedOnInTurn) {
            passedOnInTurn = false;
            return 0;
        }
        int start = buffer.position();
        int count = super.read(buffer);
        if (count > 0 && phase == Phase.HEAD) {
            return receiveHead(buffer, start, count);
        }
        if (count > 0) {
            head.skip(buffer, start, start + count);
            count(count, 0, false);
        }
        return count;
    }

    /** Handles bytes of a head that have been read into a buffer, and returns how many of them are passed on now. */
    private int receiveHead(final ByteBuffer buffer, final int start, final int count) throws IOException {
        byte[] received = connections.scratch(count);
        buffer.get(start, received, 0, count);
        boolean headEnds = head.endsIn(received, count);
        count(count, countSeparators(received, count), headEnds);
        if (headEnds && head.isEmpty()) {
            return count;
        }
        head.hold(received, count, headEnds);
        buffer.position(start);
        if (!head.isReady()) {
            return 0;
        }
        passedOnInTurn = !headEnds;
        return head.moveTo(buffer);
    }

    @Override
    public long read(final ByteBuffer[] buffers, final int offset, final int length) throws IOException {
        for (int index = offset; index < offset + length; index++) {
            if (buffers[index].hasRemaining()) {
                return read(buffers[index]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(final long position, final long count, final FileChannel target) throws IOException {
        return target.transferFrom(
                new ConduitReadableByteChannel(this), position, Math.min(count, MAXIMUM_UNREAD_BYTES));
    }

    @Override
    public long transferTo(final long count, final ByteBuffer throughBuffer, final StreamSinkChannel target)
            throws IOException {
        return Conduits.transfer(this, Math.min(count, MAXIMUM_UNREAD_BYTES), throughBuffer, target);
    }

    private static long countSeparators(final byte[] received, final int count) {
        long separators = 0;
        for (int index = 0; index < count; index++) {
            byte value = received[index];
            if (value == '\n' || value == '&' || value == ';') {
                separators++;
            }
        }
        return separators;
    }

    private void count(final long bytes, final long separators, final boolean headEnds) throws IOException {
        long bytesBefore = phaseBytes;
        phaseBytes += bytes;
        switch (phase) {
            case HEAD -> {
                int maximumBytes = connections.maximumHeaderBytes();
                if (bytesBefore >= maximumBytes || !headEnds && phaseBytes >= maximumBytes) {
                    refuse(InputRefusal.HEAD_TOO_LARGE);
                } else {
                    reserveHead(bytes * HEAD_BYTE_COST + separators * FIELD_COST_BYTES);
                }
            }
            case BODY -> {
                if (phaseBytes > MAXIMUM_FRAMING_BYTES) {
                    refuse(InputRefusal.BODY_TOO_LARGE);
                } else if (phaseBytes > FREE_FRAMING_BYTES) {
                    reserveHead(bytes * HEAD_BYTE_COST + bytes / MINIMUM_FIELD_BYTES * FIELD_COST_BYTES);
                }
            }
            case UNREAD_BODY -> {
                if (phaseBytes > MAXIMUM_UNREAD_BYTES) {
                    refuse(InputRefusal.UNREAD_BODY);
                }
            }
            default -> {
                // Bytes of a later request that stay in one buffer, or of a connection that is closed.
            }
        }
        if (phase == Phase.REFUSED) {
            throw new ClosedChannelException();
        }
    }

    private void reserveHead(final long bytes) {
        if (!connections.reserve(this, InputPart.HEAD, bytes)) {
            refuse(InputRefusal.MEMORY_FULL);
        }
    }
}
