package org.marjoramnotch.model.message;

/**
 * The rules in force.
 *
 * @param version the version of the rules
 * @param text the rules, one per line
 */
public record RulesAnswer(long version, String text) implements CellReply {}
