package org.sequoiashunt.execution;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;

/**
 * Identifies a claim by a digest of the service and the caller's idempotency key.
 *
 * <p>Immutable and thread-safe. Two different pairs of service and key have the same digest with
 * negligible probability.
 *
 * @param high the first 64 bits of the digest.
 * @param low the next 64 bits of the digest.
 */
public record ClaimKey(long high, long low) {

    /**
     * Creates the claim key of a service and an idempotency key.
     *
     * @param service the service called, not null.
     * @param key the caller's idempotency key, not null.
     * @return the claim key, never null.
     */
    public static ClaimKey of(final String service, final String key) {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(key, "key");
        return digest(service.length() + "/" + service + "/" + key);
    }

    /**
     * Creates the digest of a text.
     *
     * @param text the text, encoded as UTF-8 for the digest, not null.
     * @return the first 128 bits of the SHA-256 digest, never null.
     */
    static ClaimKey digest(final String text) {
        ByteBuffer digest = ByteBuffer.wrap(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
        return new ClaimKey(digest.getLong(), digest.getLong());
    }

    /**
     * Creates a digest function.
     *
     * @return a new SHA-256 digest.
     */
    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(
                    "SHA-256 is not available, though every Java platform must provide it", exception);
        }
    }
}
