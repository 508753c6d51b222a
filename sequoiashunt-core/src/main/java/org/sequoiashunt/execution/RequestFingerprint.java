package org.sequoiashunt.execution;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.sequoiashunt.call.CallRequest;

/**
 * Computes a fingerprint of a request that is the same for a resend: from the service with the caller's idempotency key
 * if there is one, or else with method, URI and body. Not instantiable; thread-safe.
 */
final class RequestFingerprint {

    private static final int FINGERPRINT_BYTES = 16;

    private RequestFingerprint() {}

    /**
     * Returns the fingerprint of a request.
     *
     * @param request the request, not null.
     * @return the first 128 bits of a SHA-256 digest, as 32 hexadecimal digits.
     */
    static String of(final CallRequest request) {
        MessageDigest digest = ClaimKey.sha256();
        addText(digest, request.service());
        if (request.idempotencyKey().isPresent()) {
            addText(digest, "key");
            addText(digest, request.idempotencyKey().get());
        } else {
            addText(digest, "content");
            addText(digest, request.method());
            addText(digest, request.uri());
            digest.update(request.body().bytes());
        }
        return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES);
    }

    /** Adds a text prefixed with its length in bytes, so that different sequences of texts have different digests. */
    private static void addText(final MessageDigest digest, final String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update((bytes.length + "/").getBytes(StandardCharsets.UTF_8));
        digest.update(bytes);
    }
}
