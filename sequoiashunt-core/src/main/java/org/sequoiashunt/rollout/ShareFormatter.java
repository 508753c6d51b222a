package org.sequoiashunt.rollout;

import java.math.BigDecimal;

/** Writes shares for operators. Stateless and thread-safe. */
final class ShareFormatter {

    private static final int PARTS_PER_PERCENT_POWER = 4;

    private ShareFormatter() {}

    /**
     * Writes a share as a percentage.
     *
     * @param shareParts the share in parts per million.
     * @return text such as {@code 5 %} or {@code 0.8 %}.
     */
    static String percent(final int shareParts) {
        BigDecimal percent = BigDecimal.valueOf(shareParts, PARTS_PER_PERCENT_POWER);
        return percent.stripTrailingZeros().toPlainString() + " %";
    }
}
