package org.sequoiashunt.execution;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;

/**
 * Computes a fingerprint of a request that is the same for a repetition of it: from the service with the caller's
 * idempotency key if there is one, or else with method, URI and body. Not instantiable; thread-safe.
 */
public final class RequestFingerprint {

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

    /**
     * Returns the fingerprint of a request without an idempotency key.
     *
     * @param service the service that is called, not null.
     * @param caller the service of the caller, not null.
     * @param method the method, not null.
     * @param uri the path with the query, not null.
     * @param body the body, not null.
     * @return the first 128 bits of a SHA-256 digest, as 32 hexadecimal digits.
     */
    public static String of(
            final String service, final String caller, final String method, final String uri, final Body body) {
        MessageDigest digest = ClaimKey.sha256();
        addText(digest, service);
        addText(digest, "caller");
        addText(digest, caller);
        addText(digest, method);
        addText(digest, uri);
        digest.update(body.bytes());
        return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES);
    }

    /** Adds a text prefixed with its length in bytes, so that different sequences of texts have different digests. */
    private static void addText(final MessageDigest digest, final String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update((bytes.length + "/").getBytes(StandardCharsets.UTF_8));
        digest.update(bytes);
    }
}
