package org.sequoiashunt.manifest;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/**
 * Suggests the valid word that is most similar to a misspelt one. Not instantiable; thread-safe.
 */
public final class SpellingSuggester {

    /** A word may differ from a suggestion by one letter in three. */
    private static final int LETTERS_PER_ALLOWED_EDIT = 3;

    private SpellingSuggester() {}

    /**
     * Finds the candidate with the smallest edit distance from a word.
     *
     * @param word the misspelt word, not null.
     * @param candidates the valid words, not null.
     * @return the candidate in single quotes, the alphabetically first of several; empty if none is similar enough.
     */
    public static Optional<String> suggest(final String word, final Collection<String> candidates) {
        return candidates.stream()
                .filter(candidate -> isNear(word, candidate))
                .min(Comparator.<String>comparingInt(candidate -> editDistance(word, candidate))
                        .thenComparing(Comparator.naturalOrder()))
                .map(candidate -> "'" + candidate + "'");
    }

    private static boolean isNear(final String word, final String candidate) {
        int maximumEdits = Math.max(1, Math.max(word.length(), candidate.length()) / LETTERS_PER_ALLOWED_EDIT);
        int difference = Math.abs(word.length() - candidate.length());
        return difference <= maximumEdits && editDistance(word, candidate) <= maximumEdits;
    }

    /** Computes the Levenshtein distance of two words, ignoring case. */
    static int editDistance(final String first, final String second) {
        String left = first.toLowerCase(Locale.ROOT);
        String right = second.toLowerCase(Locale.ROOT);
        int[] previousRow = new int[right.length() + 1];
        for (int column = 0; column <= right.length(); column++) {
            previousRow[column] = column;
        }
        for (int row = 1; row <= left.length(); row++) {
            int[] currentRow = new int[right.length() + 1];
            currentRow[0] = row;
            for (int column = 1; column <= right.length(); column++) {
                int replacementCost =
                        previousRow[column - 1] + (left.charAt(row - 1) == right.charAt(column - 1) ? 0 : 1);
                currentRow[column] =
                        Math.min(replacementCost, 1 + Math.min(previousRow[column], currentRow[column - 1]));
            }
            previousRow = currentRow;
        }
        return previousRow[right.length()];
    }
}
