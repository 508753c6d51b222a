package org.sequoiashunt.manifest;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/**
 * Finds the known word that a misspelt one is nearest to. Not instantiable; thread-safe.
 */
public final class SpellingSuggester {

    /** One wrong letter in three is still a near miss. */
    private static final int LETTERS_PER_MISTAKE = 3;

    private SpellingSuggester() {}

    /**
     * Finds the nearest known word.
     *
     * @param word the word as it was written, not null.
     * @param known the known words, not null.
     * @return the word in quotes, or empty if none is near.
     */
    public static Optional<String> nearest(final String word, final Collection<String> known) {
        return known.stream()
                .filter(candidate -> isNear(word, candidate))
                .min(Comparator.<String>comparingInt(candidate -> distance(word, candidate))
                        .thenComparing(Comparator.naturalOrder()))
                .map(candidate -> "'" + candidate + "'");
    }

    private static boolean isNear(final String word, final String candidate) {
        int allowed = Math.max(1, Math.max(word.length(), candidate.length()) / LETTERS_PER_MISTAKE);
        int difference = Math.abs(word.length() - candidate.length());
        return difference <= allowed && distance(word, candidate) <= allowed;
    }

    /** Counts the letters to insert, remove or replace; upper and lower case are equal. */
    static int distance(final String first, final String second) {
        String left = first.toLowerCase(Locale.ROOT);
        String right = second.toLowerCase(Locale.ROOT);
        int[] above = new int[right.length() + 1];
        for (int column = 0; column <= right.length(); column++) {
            above[column] = column;
        }
        for (int row = 1; row <= left.length(); row++) {
            int[] current = new int[right.length() + 1];
            current[0] = row;
            for (int column = 1; column <= right.length(); column++) {
                int replaced = above[column - 1] + (left.charAt(row - 1) == right.charAt(column - 1) ? 0 : 1);
                current[column] = Math.min(replaced, 1 + Math.min(above[column], current[column - 1]));
            }
            above = current;
        }
        return above[right.length()];
    }
}
