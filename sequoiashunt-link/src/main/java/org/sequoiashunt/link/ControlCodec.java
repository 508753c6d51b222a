package org.sequoiashunt.link;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Encodes and decodes the control messages of one subject. Implementations are stateless and thread-safe.
 */
public interface ControlCodec {

    /**
     * Returns the subject number that is sent with each message.
     *
     * @return the number, positive and the same in every version of the protocol.
     */
    int subject();

    /**
     * Returns whether a message belongs to the subject.
     *
     * @param message the message, not null.
     * @return true if {@link #encode} accepts it.
     */
    boolean handles(ControlMessage message);

    /**
     * Encodes a message.
     *
     * @param message a message that this codec handles.
     * @return the bytes, never null.
     */
    ByteString encode(ControlMessage message);

    /**
     * Decodes a message.
     *
     * @param payload the bytes, not null.
     * @return the message, never null.
     * @throws InvalidProtocolBufferException if the bytes are not a message of the subject.
     * @throws RuntimeException if the message violates an invariant of its record.
     */
    ControlMessage decode(ByteString payload) throws InvalidProtocolBufferException;
}
