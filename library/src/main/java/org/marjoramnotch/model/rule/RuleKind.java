package org.marjoramnotch.model.rule;

/** The first word of a rule line. */
public enum RuleKind {
    TEAM,
    KEY,
    QUEUE
}
