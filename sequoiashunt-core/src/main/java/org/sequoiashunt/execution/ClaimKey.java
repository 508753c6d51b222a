package org.sequoiashunt.execution;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;

/**
 * Digest of a service and a caller's idempotency key, under which guards keep a claim.
 *
 * <p>Immutable and thread-safe. Two different pairs share a digest with negligible probability.
 *
 * @param high the first 64 bits of the digest.
 * @param low the next 64 bits of the digest.
 */
public record ClaimKey(long high, long low) {

    /**
     * Creates the digest.
     *
     * @param service the service called, not null.
     * @param key the caller's key, not null.
     * @return the digest, never null.
     */
    public static ClaimKey of(final String service, final String key) {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(key, "key");
        return digest(service.length() + "/" + service + "/" + key);
    }

    /**
     * Creates the digest of a text.
     *
     * @param text the text, not null.
     * @return the digest, never null.
     */
    static ClaimKey digest(final String text) {
        ByteBuffer digest = ByteBuffer.wrap(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
        return new ClaimKey(digest.getLong(), digest.getLong());
    }

    /**
     * Returns the digest function.
     *
     * @return a new SHA-256 digest.
     */
    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has SHA-256", exception);
        }
    }
}
