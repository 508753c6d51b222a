package org.sequoiashunt.commit;

import io.undertow.util.HttpString;
import java.util.List;

/**
 * Paths, headers and bodies of the HTTP protocol that the platform's store speaks.
 *
 * <ul>
 *   <li>{@code GET /v1/values/{key}}: 200 with the value and its {@code Revision}, or 404.
 *   <li>{@code PUT /v1/values/{key}} with {@code Expected-Revision}, 0 for a key that must not exist: 200 with the new
 *       {@code Revision}, 409 with the present one, or 413.
 *   <li>{@code GET /v1/values?prefix=}: 200 with {@link ListedValues}.
 *   <li>{@code GET /v1/watch/{key}?revision=&waitMs=}: 200 with the value once its revision differs, or 204 when the
 *       wait is over.
 *   <li>{@code POST /v1/leases/{name}?holder=&durationMs=}: 200 with the lease as it stands.
 *   <li>{@code DELETE /v1/leases/{name}?holder=}: 204.
 * </ul>
 *
 * <p>429 (with {@code Retry-After} in seconds) and 503 mean that a call was refused without an effect. Not
 * instantiable; thread-safe.
 */
public final class StoreProtocol {

    /** Path of values. */
    public static final String VALUES = "/v1/values";

    /** Path of watches. */
    public static final String WATCH = "/v1/watch";

    /** Path of leases. */
    public static final String LEASES = "/v1/leases";

    /** Revision of the value in an answer. */
    public static final HttpString REVISION = new HttpString("Revision");

    /** Revision that a write expects. */
    public static final HttpString EXPECTED_REVISION = new HttpString("Expected-Revision");

    /** Seconds after which a refused call may be repeated. */
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
     * One value of a list. Immutable and thread-safe, on the condition that the bytes are not changed.
     *
     * @param key the key.
     * @param revision the revision.
     * @param bytes the bytes, in base 64 on the wire.
     */
    public record ListedValue(String key, long revision, byte[] bytes) {}
}
