package org.sequoiashunt.slot;

import java.util.Optional;

/**
 * Load that a target states in its answers. Immutable and thread-safe.
 *
 * @param running the number of requests that the target runs.
 * @param waiting the number of requests that wait at the target.
 * @param slots the number of requests that it runs at a time.
 * @param pacePercent how long work takes on its VM at present, in percent of the usual; zero if it states none.
 */
public record StatedLoad(int running, int waiting, int slots, int pacePercent) {

    private static final int FIGURES_WITHOUT_PACE = 3;
    private static final int FIGURES_WITH_PACE = 4;

    /** Most characters that are read: four figures of up to six digits, with commas and spaces. */
    private static final int MAXIMUM_LENGTH = 40;

    private static final int MAXIMUM_DIGITS = 6;

    /**
     * Parses figures that are separated by commas, with optional spaces around them.
     *
     * @param text the text, or null.
     * @return the load, or empty if the text is null or not three or four numbers of up to six digits.
     */
    public static Optional<StatedLoad> parse(final String text) {
        if (text == null || text.length() > MAXIMUM_LENGTH) {
            return Optional.empty();
        }
        int[] figures = new int[FIGURES_WITH_PACE];
        String[] parts = text.split(",", -1);
        if (parts.length != FIGURES_WITHOUT_PACE && parts.length != FIGURES_WITH_PACE) {
            return Optional.empty();
        }
        for (int index = 0; index < parts.length; index++) {
            figures[index] = parseFigure(parts[index].strip());
            if (figures[index] < 0) {
                return Optional.empty();
            }
        }
        return Optional.of(new StatedLoad(figures[0], figures[1], figures[2], figures[FIGURES_WITHOUT_PACE]));
    }

    /** Returns the number, or -1 if the text is not one to six ASCII digits. */
    private static int parseFigure(final String text) {
        if (text.isEmpty() || text.length() > MAXIMUM_DIGITS) {
            return -1;
        }
        int number = 0;
        for (int index = 0; index < text.length(); index++) {
            char digit = text.charAt(index);
            if (digit < '0' || digit > '9') {
                return -1;
            }
            number = number * 10 + digit - '0';
        }
        return number;
    }
}
