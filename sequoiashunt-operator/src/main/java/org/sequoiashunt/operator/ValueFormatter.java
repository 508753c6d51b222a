package org.sequoiashunt.operator;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/**
 * Formats values for operators. Not instantiable; thread-safe.
 */
final class ValueFormatter {

    private static final long MS_PER_SECOND = 1_000;
    private static final long MS_PER_MINUTE = 60 * MS_PER_SECOND;
    private static final long MS_PER_HOUR = 60 * MS_PER_MINUTE;
    private static final long MS_PER_DAY = 24 * MS_PER_HOUR;
    private static final double PARTS_PER_PERCENT = 10_000.0;

    private ValueFormatter() {}

    static String formatTime(final long timeMs) {
        return Instant.ofEpochMilli(timeMs).truncatedTo(ChronoUnit.SECONDS).toString();
    }

    static String formatDuration(final long durationMs) {
        if (durationMs < 2 * MS_PER_MINUTE) {
            return durationMs / MS_PER_SECOND + " s";
        }
        if (durationMs < 2 * MS_PER_HOUR) {
            return durationMs / MS_PER_MINUTE + " min";
        }
        return durationMs < 2 * MS_PER_DAY ? durationMs / MS_PER_HOUR + " h" : durationMs / MS_PER_DAY + " days";
    }

    static String formatShare(final int shareParts) {
        double percent = shareParts / PARTS_PER_PERCENT;
        boolean whole = percent == Math.rint(percent);
        return String.format(Locale.ROOT, whole ? "%.0f %%" : "%.2f %%", percent);
    }

    /** Replaces control characters, so that text from the store cannot send terminal control sequences or add lines. */
    static String replaceControlCharacters(final String text) {
        return text.replaceAll("[\\p{Cntrl}\\u0085\\u2028\\u2029]+", " ").strip();
    }

    static String formatCount(final int number, final String noun) {
        return number + " " + noun + (number == 1 ? "" : "s");
    }
}
