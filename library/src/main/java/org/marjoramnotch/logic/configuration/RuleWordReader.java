package org.marjoramnotch.logic.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** The words of one rule line, read from left to right. */
final class RuleWordReader {
    private static final Pattern WHITESPACE = Pattern.compile("\\s+");
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");
    private static final int MAXIMUM_NUMBER = 999_999_999;

    private final List<String> words;
    private int position;

    private RuleWordReader(List<String> words) {
        this.words = words;
    }

    /** Splits the part of a line before its comment. */
    static RuleWordReader of(String text) {
        return new RuleWordReader(
                WHITESPACE.splitAsStream(text).filter(word -> !word.isEmpty()).toList());
    }

    /** Reads the keyword. */
    void expectKeyword(String keyword) {
        String word = nextWord("'" + keyword + "'");
        if (!word.equals(keyword)) {
            throw invalid("unknown word '" + word + "'; write '" + keyword + "' here.");
        }
    }

    /** Reads a constant of the enum, written in lower case. */
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

    /** Reads a name and makes the identifier of it. */
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
                            + "' is no "
                            + what
                            + "; write a whole number from "
                            + minimum
                            + " to "
                            + MAXIMUM_NUMBER
                            + ".");
        }
        return Integer.parseInt(word);
    }

    /** Reads a word of the shape. */
    String readMatching(Pattern shape, String what) {
        String word = nextWord(what);
        if (!shape.matcher(word).matches()) {
            throw invalid("'" + word + "' is wrong; write " + what + " here.");
        }
        return word;
    }

    /** Checks that all words have been read. */
    void expectEnd() {
        if (position < words.size()) {
            throw invalid("'" + words.get(position) + "' is one word too many; remove it.");
        }
    }

    /** Returns the way that a constant is written. */
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
