package org.marjoramnotch.logic.configuration;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;

/**
 * What becomes of each subject that a change is about.
 *
 * @param lines the new line of each subject; empty when its rule is removed
 */
record RuleChange(SortedMap<RuleSubject, Optional<RuleLine>> lines) {
    /** Returns the change that removes first and then puts. */
    static RuleChange of(List<RuleSubject> removed, List<RuleLine> put) {
        SortedMap<RuleSubject, Optional<RuleLine>> lines = new TreeMap<>();
        removed.forEach(subject -> lines.put(subject, Optional.empty()));
        put.forEach(line -> lines.put(line.rule().subject(), Optional.of(line)));
        return new RuleChange(lines);
    }
}
