package org.marjoramnotch.model.rule;

/**
 * A rule with the comment that says who asked for it.
 *
 * @param rule the rule
 * @param requestedBy the comment, one line, not blank
 */
public record RuleLine(Rule rule, String requestedBy) {}
