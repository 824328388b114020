package org.marjoramnotch.logic.configuration;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;

/**
 * The effect of a change on each subject that it concerns.
 *
 * @param lines the new line of each subject; empty if its rule is removed
 */
record RuleChange(SortedMap<RuleSubject, Optional<RuleLine>> lines) {
    /** Returns the change that applies the removals first and the new lines after them. */
    static RuleChange of(List<RuleSubject> removed, List<RuleLine> put) {
        SortedMap<RuleSubject, Optional<RuleLine>> lines = new TreeMap<>();
        removed.forEach(subject -> lines.put(subject, Optional.empty()));
        put.forEach(line -> lines.put(line.rule().subject(), Optional.of(line)));
        return new RuleChange(lines);
    }
}
