package org.sequoiashunt.link;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.peer.NodeAddress;

/** TCP connection that lets a test read and write single frames and bytes. */
final class RawPeer implements Closeable {

    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;

    RawPeer(final Socket socket) throws IOException {
        this.socket = socket;
        this.in = new DataInputStream(socket.getInputStream());
        this.out = new DataOutputStream(socket.getOutputStream());
        socket.setSoTimeout((int) LinkFixture.WAIT_MS);
    }

    static RawPeer connect(final NodeAddress address) throws IOException {
        return new RawPeer(new Socket(address.host(), address.port()));
    }

    Frame read() throws IOException {
        return Frame.parseFrom(in.readNBytes(in.readInt()));
    }

    void write(final Frame frame) throws IOException {
        out.writeInt(frame.getSerializedSize());
        frame.writeTo(out);
        out.flush();
    }

    void writeBytes(final byte... bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    /** Writes a frame and returns whether the connection was open. */
    boolean tryWrite(final Frame frame) {
        return tryWriteBytes(ByteBuffer.allocate(FrameFactory.encodedBytes(frame))
                .putInt(frame.getSerializedSize())
                .put(frame.toByteArray())
                .array());
    }

    /** Writes bytes and returns whether the connection was open. */
    boolean tryWriteBytes(final byte... bytes) {
        try {
            writeBytes(bytes);
            return true;
        } catch (IOException exception) {
            return false;
        }
    }

    /** Reads the hello frame of the peer and answers it as an accepting node. */
    void answerHello() throws IOException {
        read();
        write(FrameFactory.hello(new LinkIdentity("gate", 1), 1));
    }

    void shutdownOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Waits until the peer closes the connection and returns whether it did so within the time-out. */
    boolean isClosedByPeer() {
        try {
            return in.readAllBytes().length >= 0;
        } catch (SocketTimeoutException exception) {
            return false;
        } catch (IOException exception) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
