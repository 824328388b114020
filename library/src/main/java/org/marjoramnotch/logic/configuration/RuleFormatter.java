package org.marjoramnotch.logic.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.stream.Collectors;
import org.marjoramnotch.model.rule.RuleLine;

/** Writes rules as the text that {@link RuleParser} reads. */
public final class RuleFormatter {
    private RuleFormatter() {}

    /** Returns one line per rule, sorted by subject, each with a line break at its end. */
    public static String format(Collection<RuleLine> lines) {
        return lines.stream()
                .sorted(Comparator.comparing((RuleLine line) -> line.rule().subject()))
                .map(line -> RuleLineSyntax.write(line) + "\n")
                .collect(Collectors.joining());
    }
}
