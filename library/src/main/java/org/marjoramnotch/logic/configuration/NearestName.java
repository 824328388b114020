package org.marjoramnotch.logic.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Suggests the known word that a mistyped word most likely stands for. */
public final class NearestName {
    private static final int MINIMUM_ALLOWED_DISTANCE = 2;
    private static final int CHARACTERS_PER_EDIT = 2;

    private NearestName() {}

    /**
     * Returns the known word with the smallest edit distance, or empty if every known word differs
     * by more than half of the word's length, and by more than two edits.
     */
    public static Optional<String> find(String word, Collection<String> known) {
        int allowed = Math.max(MINIMUM_ALLOWED_DISTANCE, word.length() / CHARACTERS_PER_EDIT);
        LevenshteinDistance distance = new LevenshteinDistance(allowed);
        return known.stream()
                .filter(candidate -> distance.apply(word, candidate) >= 0)
                .min(
                        Comparator.comparing((String candidate) -> distance.apply(word, candidate))
                                .thenComparing(Comparator.naturalOrder()));
    }

    /**
     * Returns the end of an error message: the nearest known word, or a list of all known words if
     * none is near.
     */
    public static String hint(String word, Collection<String> known) {
        if (known.isEmpty()) {
            return "none is known yet; add one first.";
        }
        return find(word, known)
                .map(nearest -> "did you mean '" + nearest + "'?")
                .orElseGet(() -> "use one of " + String.join(", ", known) + ".");
    }
}
