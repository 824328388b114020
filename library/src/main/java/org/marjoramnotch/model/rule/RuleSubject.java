package org.marjoramnotch.model.rule;

import java.util.Comparator;

/**
 * The team, key or queue that a rule is about.
 *
 * @param kind the kind of the rule
 * @param name the name of the team, key or queue
 */
public record RuleSubject(RuleKind kind, String name) implements Comparable<RuleSubject> {
    private static final Comparator<RuleSubject> ORDER =
            Comparator.comparing(RuleSubject::kind).thenComparing(RuleSubject::name);

    @Override
    public int compareTo(RuleSubject other) {
        return ORDER.compare(this, other);
    }
}
