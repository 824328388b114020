package org.marjoramnotch.logic.configuration;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;

/**
 * The changes that turn the rules in force into the requested ones.
 *
 * @param removed subjects that no longer have a rule
 * @param put lines that are new or have changed
 */
public record ConfigurationDifference(List<RuleSubject> removed, List<RuleLine> put) {
    /** Returns the difference between the rules in force and the requested ones. */
    public static ConfigurationDifference between(
            ConfigurationState current, Collection<RuleLine> requested) {
        Set<RuleSubject> subjects =
                requested.stream().map(line -> line.rule().subject()).collect(Collectors.toSet());
        List<RuleSubject> removed =
                current.lines().stream()
                        .map(line -> line.rule().subject())
                        .filter(subject -> !subjects.contains(subject))
                        .toList();
        List<RuleLine> put = requested.stream().filter(line -> !isInForce(current, line)).toList();
        return new ConfigurationDifference(removed, put);
    }

    private static boolean isInForce(ConfigurationState current, RuleLine line) {
        return current.line(line.rule().subject()).filter(line::equals).isPresent();
    }
}
