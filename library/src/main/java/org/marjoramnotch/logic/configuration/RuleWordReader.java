package org.marjoramnotch.logic.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Reads the words of one rule line from left to right. */
final class RuleWordReader {
    private static final Pattern WHITESPACE = Pattern.compile("\\s+");
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");
    private static final int MAXIMUM_NUMBER = 999_999_999;

    private final List<String> words;
    private int position;

    private RuleWordReader(List<String> words) {
        this.words = words;
    }

    /** Splits the part of a line before its comment into words. */
    static RuleWordReader of(String text) {
        return new RuleWordReader(
                WHITESPACE.splitAsStream(text).filter(word -> !word.isEmpty()).toList());
    }

    /** Reads the given keyword. */
    void expectKeyword(String keyword) {
        String word = nextWord("'" + keyword + "'");
        if (!word.equals(keyword)) {
            throw invalid("unknown word '" + word + "'; write '" + keyword + "' here.");
        }
    }

    /** Reads a constant of an enum, written in lower case. */
    <E extends Enum<E>> E readConstant(Class<E> type) {
        List<String> known =
                Arrays.stream(type.getEnumConstants()).map(RuleWordReader::lowerCase).toList();
        String word = nextWord("one of " + String.join(", ", known));
        int index = known.indexOf(word);
        if (index < 0) {
            throw invalid("unknown word '" + word + "'; " + NearestName.hint(word, known));
        }
        return type.getEnumConstants()[index];
    }

    /** Reads a name and converts it to an identifier. */
    <T> T readName(String what, Function<String, T> identifier) {
        return identifier.apply(nextWord("the name of a " + what));
    }

    /** Reads a whole number that is at least the minimum. */
    int readNumber(String what, int minimum) {
        String word = nextWord("the " + what);
        if (!WHOLE_NUMBER.matcher(word).matches() || Integer.parseInt(word) < minimum) {
            throw invalid(
                    "'"
                            + word
                            + "' is not a valid "
                            + what
                            + "; write a whole number from "
                            + minimum
                            + " to "
                            + MAXIMUM_NUMBER
                            + ".");
        }
        return Integer.parseInt(word);
    }

    /** Reads a word that matches a pattern. */
    String readMatching(Pattern shape, String what) {
        String word = nextWord(what);
        if (!shape.matcher(word).matches()) {
            throw invalid("'" + word + "' is not valid; write " + what + " here.");
        }
        return word;
    }

    /** Checks that all words have been read. */
    void expectEnd() {
        if (position < words.size()) {
            throw invalid("'" + words.get(position) + "' is one word too many; remove it.");
        }
    }

    /** Returns a constant as it is written in rules. */
    static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private String nextWord(String expected) {
        if (position == words.size()) {
            throw invalid("the rule ends too early; add " + expected + ".");
        }
        return words.get(position++);
    }

    private static MarjoramnotchException invalid(String message) {
        return new MarjoramnotchException(ErrorCode.INVALID_RULES, message);
    }
}
