package org.marjoramnotch.model.message;

/** Asks for the state of the cell. */
public record ReadStatus() implements CellRequest {}
