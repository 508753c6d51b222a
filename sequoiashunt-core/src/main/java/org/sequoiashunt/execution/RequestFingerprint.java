package org.sequoiashunt.execution;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.sequoiashunt.call.CallRequest;

/**
 * Names a request so that a resend has the same name: by the caller's key if there is one, else by what it contains.
 * Not instantiable; thread-safe.
 */
final class RequestFingerprint {

    private static final int FINGERPRINT_BYTES = 16;

    private RequestFingerprint() {}

    /**
     * Returns the fingerprint of a request.
     *
     * @param request the request, not null.
     * @return 32 hexadecimal digits.
     */
    static String of(final CallRequest request) {
        MessageDigest digest = ClaimKey.sha256();
        addText(digest, request.service());
        if (request.key().isPresent()) {
            addText(digest, "key");
            addText(digest, request.key().get());
        } else {
            addText(digest, "content");
            addText(digest, request.method());
            addText(digest, request.uri());
            digest.update(request.body().bytes());
        }
        return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES);
    }

    /** Adds a text with its length in front, so that neighbouring texts cannot be confused. */
    private static void addText(final MessageDigest digest, final String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update((bytes.length + "/").getBytes(StandardCharsets.UTF_8));
        digest.update(bytes);
    }
}
