package org.sequoiashunt.commit;

import io.undertow.util.HttpString;
import java.util.List;

/**
 * Paths, headers and bodies of the HTTP protocol of the platform's store.
 *
 * <ul>
 *   <li>{@code GET /v1/values/{key}}: 200 with the value and its {@code Revision}, or 404.
 *   <li>{@code PUT /v1/values/{key}} with {@code Expected-Revision}, 0 for a key that must not exist: 200 with the new
 *       {@code Revision}, 409 with the current one, or 413 for a value
 *       that is too large.
 *   <li>{@code GET /v1/values?prefix=}: 200 with {@link ListedValues}.
 *   <li>{@code GET /v1/watch/{key}?revision=&waitMs=}: 200 with the value once its revision differs, or 204 when the
 *       wait is over.
 *   <li>{@code POST /v1/leases/{name}?holder=&durationMs=}: 200 with the lease, whose holder may be
 *       another one.
 *   <li>{@code DELETE /v1/leases/{name}?holder=}: 204.
 * </ul>
 *
 * <p>429 (with {@code Retry-After} in seconds) and 503 mean that a request was refused and had no effect. Not
 * instantiable; thread-safe.
 */
public final class StoreProtocol {

    /** Path below which values are read, listed and written. */
    public static final String VALUES = "/v1/values";

    /** Path below which values are watched. */
    public static final String WATCH = "/v1/watch";

    /** Path below which leases are acquired and released. */
    public static final String LEASES = "/v1/leases";

    /** Response header with the revision of a value. */
    public static final HttpString REVISION = new HttpString("Revision");

    /** Request header with the revision that a write expects. */
    public static final HttpString EXPECTED_REVISION = new HttpString("Expected-Revision");

    /** Response header with the seconds after which a refused request may be repeated. */
    public static final HttpString RETRY_AFTER = new HttpString("Retry-After");

    private StoreProtocol() {}

    /**
     * Values whose keys share a prefix. Immutable and thread-safe.
     *
     * @param values the values, ordered by key.
     */
    public record ListedValues(List<ListedValue> values) {

        /**
         * Copies the list.
         *
         * @throws NullPointerException if the list or one of its elements is null.
         */
        public ListedValues {
            values = List.copyOf(values);
        }
    }

    /**
     * One value of a list. Immutable and thread-safe, provided that the bytes are not changed.
     *
     * @param key the key of the value.
     * @param revision the revision of the value.
     * @param bytes the content of the value, encoded in base 64 in the response.
     */
    public record ListedValue(String key, long revision, byte[] bytes) {}
}
