package org.sequoiashunt.link;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiashunt.link.wire.FrameProto;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Encodes and decodes control messages with the codec of their subject.
 *
 * <p>Immutable and thread-safe. Invariant: no two codecs have the same subject.
 */
public final class MessageCodec {

    private final Map<Integer, ControlCodec> codecs;

    private MessageCodec(final Map<Integer, ControlCodec> codecs) {
        this.codecs = Map.copyOf(codecs);
    }

    /**
     * Creates a registry.
     *
     * @param codecs the codecs, not null.
     * @return the registry, never null.
     * @throws IllegalArgumentException if two codecs have the same subject.
     */
    public static MessageCodec of(final List<ControlCodec> codecs) {
        Map<Integer, ControlCodec> bySubject = new HashMap<>();
        for (ControlCodec codec : codecs) {
            if (bySubject.put(codec.subject(), codec) != null) {
                throw new IllegalArgumentException("two codecs have subject " + codec.subject());
            }
        }
        return new MessageCodec(bySubject);
    }

    /**
     * Creates a registry with the codecs of all control messages that nodes exchange.
     *
     * @return the registry, never null.
     */
    public static MessageCodec standard() {
        return of(List.of(new ReplicationCodec(), new MembershipCodec(), new ClaimCodec(), new FleetCodec()));
    }

    /**
     * Encodes a message.
     *
     * @param message the message, not null.
     * @return the wire form, never null.
     * @throws IllegalArgumentException if no codec handles the message.
     */
    FrameProto.Control encode(final ControlMessage message) {
        for (ControlCodec codec : codecs.values()) {
            if (codec.handles(message)) {
                return FrameProto.Control.newBuilder()
                        .setSubject(codec.subject())
                        .setPayload(codec.encode(message))
                        .build();
            }
        }
        throw new IllegalArgumentException(
                "no control codec for " + message.getClass().getName());
    }

    /**
     * Decodes a message.
     *
     * @param control the wire form, not null.
     * @return the message, never null.
     * @throws LinkProtocolException if the subject is unknown or the payload is not a valid message of it.
     */
    ControlMessage decode(final FrameProto.Control control) throws LinkProtocolException {
        ControlCodec codec = codecs.get(control.getSubject());
        if (codec == null) {
            throw new LinkProtocolException(Refusal.UNKNOWN_SUBJECT, "unknown control subject " + control.getSubject());
        }
        try {
            return codec.decode(control.getPayload());
        } catch (InvalidProtocolBufferException | RuntimeException exception) {
            throw new LinkProtocolException(
                    Refusal.MALFORMED_CONTROL, "invalid payload of a control message", exception);
        }
    }
}
