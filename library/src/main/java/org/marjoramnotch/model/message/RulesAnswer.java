package org.marjoramnotch.model.message;

/**
 * The rules in force.
 *
 * @param version their version
 * @param text one line per rule
 */
public record RulesAnswer(long version, String text) implements CellReply {}
