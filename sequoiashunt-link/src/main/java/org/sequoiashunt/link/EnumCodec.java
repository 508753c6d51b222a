package org.sequoiashunt.link;

/** Maps enumerations to their wire form: one plus the position of the constant. Stateless and thread-safe. */
final class EnumCodec {

    private EnumCodec() {}

    static int code(final Enum<?> constant) {
        return constant.ordinal() + 1;
    }

    static <E> E decode(final E[] constants, final int code) {
        if (code < 1 || code > constants.length) {
            throw new IllegalArgumentException("no constant has code " + code);
        }
        return constants[code - 1];
    }
}
