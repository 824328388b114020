package org.marjoramnotch.model.message;

/** Reads the rules in force. */
public record ReadRules() implements CellRequest {}
