package org.sequoiashunt.replication;

import java.lang.reflect.RecordComponent;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates how many bytes a record takes on the wire. The estimate counts lengths and variable-length numbers as the
 * usual binary codecs do; it is close enough to split messages and to compare replication methods, but is not exact.
 *
 * <p>Not instantiable; thread-safe.
 */
public final class WireSizeEstimator {

    private static final int FIELD_BYTES = 2;
    private static final int FIXED_NUMBER_BYTES = 8;
    private static final int BITS_PER_BYTE = 7;

    private static final ClassValue<RecordComponent[]> COMPONENTS = new ClassValue<>() {
        @Override
        protected RecordComponent[] computeValue(final Class<?> type) {
            return type.getRecordComponents();
        }
    };

    private WireSizeEstimator() {}

    /**
     * Estimates the size of a value.
     *
     * @param value a record whose components are public records, collections, maps, optionals, enums, text, numbers or
     *     truth values; or one of these; not null.
     * @return the size in bytes, without the frame around it.
     * @throws IllegalArgumentException if the value or a component has another type.
     */
    public static int estimate(final Object value) {
        if (value instanceof CharSequence text) {
            return FIELD_BYTES + text.length();
        }
        if (value instanceof Long number) {
            return 1 + numberBytes(number);
        }
        if (value instanceof Integer number) {
            return 1 + numberBytes(number);
        }
        if (value instanceof Boolean || value instanceof Enum<?>) {
            return FIELD_BYTES;
        }
        return estimateNested(value);
    }

    private static int estimateNested(final Object value) {
        if (value instanceof Optional<?> optional) {
            return optional.map(WireSizeEstimator::estimate).orElse(0);
        }
        if (value instanceof Collection<?> collection) {
            return collection.stream().mapToInt(WireSizeEstimator::estimate).sum();
        }
        if (value instanceof Map<?, ?> map) {
            return map.entrySet().stream()
                    .mapToInt(entry -> FIELD_BYTES + estimate(entry.getKey()) + estimate(entry.getValue()))
                    .sum();
        }
        if (value instanceof Record) {
            return estimateRecord(value);
        }
        throw new IllegalArgumentException("no estimate for " + value.getClass());
    }

    private static int estimateRecord(final Object value) {
        int bytes = FIELD_BYTES;
        try {
            for (RecordComponent component : COMPONENTS.get(value.getClass())) {
                bytes += estimate(component.getAccessor().invoke(value));
            }
        } catch (ReflectiveOperationException exception) {
            throw new IllegalArgumentException("no estimate for " + value.getClass(), exception);
        }
        return bytes;
    }

    private static int numberBytes(final long number) {
        if (number < 0) {
            return FIXED_NUMBER_BYTES;
        }
        int bits = Long.SIZE - Long.numberOfLeadingZeros(number);
        return Math.min(FIXED_NUMBER_BYTES, Math.max(1, (bits + BITS_PER_BYTE - 1) / BITS_PER_BYTE));
    }
}
