package org.sequoiashunt.link;

/**
 * Encodes an enum constant as its ordinal plus one, so that zero, the default of an unset field, is refused. Stateless
 * and thread-safe.
 */
final class EnumCodec {

    private EnumCodec() {}

    static int encode(final Enum<?> constant) {
        return constant.ordinal() + 1;
    }

    static <E> E decode(final E[] constants, final int code) {
        if (code < 1 || code > constants.length) {
            throw new IllegalArgumentException("no enum constant has code " + code);
        }
        return constants[code - 1];
    }
}
