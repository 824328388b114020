package org.marjoramnotch.model.rule;

/** The kind of a rule, which is the first word of its line. */
public enum RuleKind {
    TEAM,
    KEY,
    QUEUE
}
