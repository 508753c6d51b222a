package org.sequoiashunt.link;

import com.google.protobuf.ByteString;
import org.sequoiashunt.peer.ControlMessage;

/** Control message with a text, for tests. */
record TextMessage(String text) implements ControlMessage {

    /** Codec of text messages, which refuses the empty text. */
    static final class Codec implements ControlCodec {

        @Override
        public int subject() {
            return 99;
        }

        @Override
        public boolean handles(final ControlMessage message) {
            return message instanceof TextMessage;
        }

        @Override
        public ByteString encode(final ControlMessage message) {
            return ByteString.copyFromUtf8(((TextMessage) message).text());
        }

        @Override
        public ControlMessage decode(final ByteString payload) {
            if (payload.isEmpty()) {
                throw new IllegalArgumentException("empty");
            }
            return new TextMessage(payload.toStringUtf8());
        }
    }
}
