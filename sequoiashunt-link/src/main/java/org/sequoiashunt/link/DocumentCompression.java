package org.sequoiashunt.link;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.InflaterInputStream;
import org.sequoiashunt.call.Body;

/** Compresses documents for transfer between nodes and decompresses them. Stateless and thread-safe. */
final class DocumentCompression {

    /** Limit of a decompressed document: twice the largest value that the platform's store accepts. */
    private static final int MAXIMUM_BYTES = 2 << 20;

    private static final int BUFFER_BYTES = 8_192;

    private DocumentCompression() {}

    static ByteString compress(final Body document) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(document.bytes());
            deflater.finish();
            ByteString.Output output = ByteString.newOutput();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                output.write(buffer, 0, deflater.deflate(buffer));
            }
            return output.toByteString();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses a document.
     *
     * @throws IllegalArgumentException if the bytes are not a compressed document or the document is too large.
     */
    static Body decompress(final ByteString compressed) {
        ByteArrayOutputStream document = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InflaterInputStream input = new InflaterInputStream(new ByteArrayInputStream(compressed.toByteArray()))) {
            int count = input.read(buffer);
            while (count >= 0) {
                document.write(buffer, 0, count);
                if (document.size() > MAXIMUM_BYTES) {
                    throw new IllegalArgumentException("decompressed document exceeds " + MAXIMUM_BYTES + " bytes");
                }
                count = input.read(buffer);
            }
        } catch (IOException exception) {
            throw new IllegalArgumentException("bytes are not a compressed document", exception);
        }
        return Body.of(document.toByteArray());
    }
}
