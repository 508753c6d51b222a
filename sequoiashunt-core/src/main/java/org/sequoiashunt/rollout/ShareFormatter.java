package org.sequoiashunt.rollout;

import java.math.BigDecimal;

/** Formats shares of requests for operators. Stateless and thread-safe. */
final class ShareFormatter {

    private static final int PERCENT_SCALE = 4;

    private ShareFormatter() {}

    /**
     * Formats a share as a percentage.
     *
     * @param shareParts the share in parts per million.
     * @return text such as {@code 5 %} or {@code 0.8 %}.
     */
    static String formatPercent(final int shareParts) {
        BigDecimal percent = BigDecimal.valueOf(shareParts, PERCENT_SCALE);
        return percent.stripTrailingZeros().toPlainString() + " %";
    }
}
