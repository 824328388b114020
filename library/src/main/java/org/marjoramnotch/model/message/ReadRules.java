package org.marjoramnotch.model.message;

/** Asks for the rules in force. */
public record ReadRules() implements CellRequest {}
